"""Encoder and decoder for IAX2 frames and information elements (RFC 5456, sections 8.1 to 8.6).

Names and numbers are those of the RFC. FrameError is raised for what cannot be decoded or encoded.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

FULL_HEADER = struct.Struct(">HHIBBBB")
MINI_HEADER = struct.Struct(">HH")
MAX_CALL_NUMBER = 0x7FFF
VERSION = 2


class FrameError(ValueError):
    """A malformed frame or information element, or a value that cannot be encoded."""


class FrameType(IntEnum):
    DTMF = 1
    VOICE = 2
    VIDEO = 3
    CONTROL = 4
    NULL = 5
    IAX = 6
    TEXT = 7
    IMAGE = 8
    HTML = 9
    COMFORT_NOISE = 10


class Iax(IntEnum):
    """Subclasses of IAX control frames (frame type IAX)."""

    NEW = 0x01
    PING = 0x02
    PONG = 0x03
    ACK = 0x04
    HANGUP = 0x05
    REJECT = 0x06
    ACCEPT = 0x07
    AUTHREQ = 0x08
    AUTHREP = 0x09
    INVAL = 0x0A
    LAGRQ = 0x0B
    LAGRP = 0x0C
    REGREQ = 0x0D
    REGAUTH = 0x0E
    REGACK = 0x0F
    REGREJ = 0x10
    REGREL = 0x11
    VNAK = 0x12
    DPREQ = 0x13
    DPREP = 0x14
    DIAL = 0x15
    TXREQ = 0x16
    TXCNT = 0x17
    TXACC = 0x18
    TXREADY = 0x19
    TXREL = 0x1A
    TXREJ = 0x1B
    QUELCH = 0x1C
    UNQUELCH = 0x1D
    POKE = 0x1E
    MWI = 0x20
    UNSUPPORT = 0x21
    TRANSFER = 0x22


class Control(IntEnum):
    """Subclasses of call control frames (frame type CONTROL)."""

    HANGUP = 0x01
    RINGING = 0x03
    ANSWER = 0x04
    BUSY = 0x05
    CONGESTION = 0x08
    FLASH_HOOK = 0x09
    OPTION = 0x0B
    KEY_RADIO = 0x0C
    UNKEY_RADIO = 0x0D
    PROGRESS = 0x0E
    PROCEEDING = 0x0F
    HOLD = 0x10
    UNHOLD = 0x11


class IE(IntEnum):
    """Types of information elements."""

    CALLED_NUMBER = 0x01
    CALLING_NUMBER = 0x02
    CALLING_NAME = 0x04
    CALLED_CONTEXT = 0x05
    USERNAME = 0x06
    CAPABILITY = 0x08
    FORMAT = 0x09
    VERSION = 0x0B
    AUTHMETHODS = 0x0E
    CHALLENGE = 0x0F
    MD5_RESULT = 0x10
    APPARENT_ADDR = 0x12
    REFRESH = 0x13
    CAUSE = 0x16
    IAX_UNKNOWN = 0x17
    DATETIME = 0x1F
    CAUSECODE = 0x2A


# IAX frames that do not take a sequence number (sections 6.9 and 7). They are never acknowledged themselves.
UNSEQUENCED = (Iax.ACK, Iax.INVAL, Iax.VNAK, Iax.TXCNT, Iax.TXACC)
AUTH_MD5 = 0x0002
Elements = dict[int, bytes]


@dataclass(slots=True, frozen=True)
class FullFrame:
    """A frame with the full header: signalling, or media that must arrive.

    The timestamp is in milliseconds since the start of the leg. The oseqno is the frame's own sequence number; the
    iseqno is the number of the next frame that its sender expects. A decoded subclass of -1 is the C bit with all
    other bits set.
    """

    source: int
    destination: int
    timestamp: int
    oseqno: int
    iseqno: int
    frame_type: int
    subclass: int
    data: memoryview | bytes = b""
    retransmitted: bool = False

    def is_iax(self, *subclasses: int) -> bool:
        return self.frame_type == FrameType.IAX and (not subclasses or self.subclass in subclasses)

    def encode(self, retransmitted: bool = False, iseqno: int | None = None) -> bytes:
        """Encode the frame, with the R bit if retransmitted; iseqno replaces the frame's own.

        Raises FrameError for a subclass that cannot be encoded.
        """
        return (
            FULL_HEADER.pack(
                0x8000 | self.source,
                (0x8000 if retransmitted else 0) | self.destination,
                self.timestamp & 0xFFFFFFFF,
                self.oseqno,
                self.iseqno if iseqno is None else iseqno,
                self.frame_type,
                encode_subclass(self.subclass),
            )
            + self.data
        )


@dataclass(slots=True, frozen=True)
class MiniFrame:
    """A frame with the short header, for media. It carries the low 16 bits of the timestamp in milliseconds."""

    source: int
    timestamp: int
    data: memoryview | bytes

    def encode(self) -> bytes:
        return MINI_HEADER.pack(self.source, self.timestamp & 0xFFFF) + self.data


def encode_subclass(subclass: int) -> int:
    """Encode a subclass up to 127 as it is, and a greater one as a power of two with the C bit (section 8.1.1)."""
    if subclass < 0x80:
        return subclass
    power = subclass.bit_length() - 1
    if subclass != 1 << power:
        raise FrameError(f"subclass {subclass} is neither below 128 nor a power of two")
    return 0x80 | power


def decode(datagram: bytes | memoryview) -> FullFrame | MiniFrame | None:
    """Decode a datagram. The data of the frame is a slice of it, not a copy.

    Returns None for a meta frame, which is not supported. Raises FrameError if the datagram is too short.
    """
    view = memoryview(datagram)
    if len(view) < MINI_HEADER.size:
        raise FrameError("shorter than the 4-byte header of a mini frame")
    first_word, second_word = MINI_HEADER.unpack_from(view)
    if not first_word & 0x8000:
        return MiniFrame(first_word, second_word, view[MINI_HEADER.size :]) if first_word else None
    if len(view) < FULL_HEADER.size:
        raise FrameError("shorter than the 12-byte header of a full frame")
    source, destination, timestamp, oseqno, iseqno, frame_type, subclass = FULL_HEADER.unpack_from(view)
    if subclass & 0x80:
        subclass = 1 << (subclass & 0x7F) if subclass != 0xFF else -1
    return FullFrame(
        source & 0x7FFF,
        destination & 0x7FFF,
        timestamp,
        oseqno,
        iseqno,
        frame_type,
        subclass,
        view[FULL_HEADER.size :],
        bool(destination & 0x8000),
    )


def encode_elements(elements: Iterable[tuple[int, bytes | str | int]]) -> bytes:
    """Encode each element as type, length and value.

    Text is encoded as UTF-8 and cut at 255 bytes. An integer takes 4 bytes; give bytes for another width.
    Raises FrameError for bytes longer than 255.
    """
    encoded = bytearray()
    for element_type, value in elements:
        if isinstance(value, str):
            data = value.encode("utf-8", "replace")[:255]
        else:
            data = value.to_bytes(4, "big") if isinstance(value, int) else value
        if len(data) > 255:
            raise FrameError(f"information element {element_type} is longer than 255 bytes")
        encoded += bytes((element_type, len(data))) + data
    return bytes(encoded)


def decode_elements(data: memoryview | bytes) -> Elements:
    """Decode all elements, including unknown ones; of a repeated type the first one counts.

    The values are copied, as they are kept longer than the datagram. Raises FrameError for a truncated element.
    """
    elements: Elements = {}
    offset = 0
    while offset < len(data):
        if offset + 2 > len(data) or offset + 2 + data[offset + 1] > len(data):
            raise FrameError("an information element runs past the end of the frame")
        elements.setdefault(data[offset], bytes(data[offset + 2 : offset + 2 + data[offset + 1]]))
        offset += 2 + data[offset + 1]
    return elements


def element_text(elements: Elements, element_type: int) -> str:
    """The value of the element as text; empty if it is missing."""
    return elements.get(element_type, b"").decode("utf-8", "replace")


def element_number(elements: Elements, element_type: int, default: int = 0) -> int:
    """The value of the element as an unsigned integer of any width; the default if it is missing."""
    return int.from_bytes(elements[element_type], "big") if element_type in elements else default
