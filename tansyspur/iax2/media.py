"""Media between the two IAX2 legs of a call, and the session description of an IAX2 leg for other protocols."""

from tansyspur.iax2.frames import FrameType, FullFrame, MiniFrame
from tansyspur.iax2.transport import Leg

# Media format bits of the information elements FORMAT and CAPABILITY. The order is that of preference.
FORMATS = {
    "gsm": 0x2,
    "ulaw": 0x4,
    "alaw": 0x8,
    "g726": 0x10,
    "slin": 0x40,
    "g729": 0x100,
    "speex": 0x200,
    "ilbc": 0x400,
}
FORMAT_NAMES = {bit: name for name, bit in FORMATS.items()}


def session_description(leg: Leg, wire_id: str, media_format: int) -> str:
    """The session description (SDP) of a leg: the address of its signalling, which IAX2 uses for media too."""
    host, port = leg.address[0], leg.address[1]
    return (
        f"v=0\r\no=- {wire_id} 0 IN IP4 {host}\r\ns=-\r\nc=IN IP4 {host}\r\nt=0 0\r\n"
        f"m=audio {port} IAX2 {FORMAT_NAMES.get(media_format, 'unknown')}\r\n"
    )


class Bridge:
    """Forwards media between the legs of a call that uses IAX2 on both sides.

    With one IAX2 leg only, received media is acknowledged and dropped.
    """

    def __init__(self) -> None:
        self.legs: dict[str, list[Leg]] = {}  # by wire id of the call; the caller's leg is first

    def add_leg(self, wire_id: str, leg: Leg) -> None:
        self.legs.setdefault(wire_id, []).append(leg)

    def remove_leg(self, wire_id: str, leg: Leg) -> None:
        legs = self.legs.get(wire_id, [])
        if leg in legs:
            legs.remove(leg)
        if not legs:
            self.legs.pop(wire_id, None)

    def forward(self, wire_id: str, leg: Leg, frame: FullFrame | MiniFrame) -> None:
        for other in self.legs.get(wire_id, ()):
            if other is leg or other.closed or other.closing:
                continue
            if isinstance(frame, MiniFrame):
                mini = MiniFrame(other.number, frame.timestamp, frame.data)
                other.endpoint.send(mini.encode(), other.address)
            elif frame.frame_type in (
                FrameType.VOICE,
                FrameType.DTMF,
                FrameType.VIDEO,
                FrameType.COMFORT_NOISE,
            ):
                # Copied: the frame is kept until it is acknowledged, longer than the datagram that its data is part of.
                other.send(frame.frame_type, frame.subclass, bytes(frame.data), frame.timestamp)
