"""A handset that speaks IAX2 (RFC 5456) over UDP: one call at a time, always under the same call number."""

import asyncio
import struct
import time

IAX, CONTROL = 6, 4
NEW, PING, PONG, ACK, HANGUP, REJECT = 1, 2, 3, 4, 5, 6
ACK_LIKE = (ACK, 10, 18)  # ACK, INVAL and VNAK take no sequence number and are not acknowledged
ANSWER = 4
CALLED_NUMBER, CAPABILITY, FORMAT, VERSION, CAUSE, CAUSECODE = 1, 8, 9, 11, 22, 42
ULAW = b"\0\0\0\4"
RETRY_S, RETRIES = 0.5, 4


class Handset(asyncio.DatagramProtocol):
    """final holds the final answer to the present try, "ANSWER", "HANGUP n" or "REJECT n", and its time."""

    def __init__(self, record, name, gatekeeper):
        self.record, self.name, self.gatekeeper, self.number = record, name, gatekeeper, 1
        self.final, self.final_at, self.acknowledged, self.active = None, 0.0, False, False
        self.changed = asyncio.Event()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        return self

    def close(self):
        self.transport.close()

    def send(self, frame_type, subclass, data=b"", oseqno=None, repeat=False):
        """Send a full frame; frames that take a sequence number are those without oseqno."""
        if oseqno is None:
            oseqno, self.oseqno = self.oseqno, (self.oseqno + 1) % 256
        stamp = int((time.monotonic() - self.dialled_at) * 1000)
        destination = self.remote | (0x8000 if repeat else 0)
        head = struct.pack(
            ">HHIBBBB", self.number | 0x8000, destination, stamp, oseqno, self.iseqno, frame_type, subclass
        )
        self.transport.sendto(head + data, self.gatekeeper)

    def dial(self, called):
        """Send a NEW. The call before must have ended on both sides."""
        assert not self.active
        self.remote = self.oseqno = self.iseqno = 0
        self.final, self.acknowledged, self.active = None, False, True
        self.changed.clear()
        self.dialled_at = time.monotonic()
        elements = [(VERSION, b"\0\2"), (CALLED_NUMBER, called.encode()), (FORMAT, ULAW), (CAPABILITY, ULAW)]
        data = b"".join(bytes([kind, len(value)]) + value for kind, value in elements)
        self.record(self.name, f"sent NEW, call number {self.number}, called number {called}")
        self.send(IAX, NEW, data)
        asyncio.get_running_loop().call_later(RETRY_S, self.repeat_new, data, RETRIES, self.dialled_at)

    def repeat_new(self, data, left, dialled_at):
        if left and not self.acknowledged and self.dialled_at == dialled_at:
            self.record(self.name, "sent the NEW again: no acknowledgement")
            self.send(IAX, NEW, data, oseqno=0, repeat=True)
            asyncio.get_running_loop().call_later(RETRY_S, self.repeat_new, data, left - 1, dialled_at)

    def datagram_received(self, data, address):
        if len(data) < 12 or not data[0] & 0x80:
            return
        source, destination, _, oseqno, iseqno, frame_type, subclass = struct.unpack(">HHIBBBB", data[:12])
        if destination & 0x7FFF != self.number:
            return
        self.acknowledged = self.acknowledged or iseqno > 0
        if frame_type == IAX and subclass in ACK_LIKE:
            return self.record(self.name, "received " + {ACK: "ACK", 10: "INVAL"}.get(subclass, "VNAK"))
        if self.active and not self.remote:
            self.remote = source & 0x7FFF
        if self.active and source & 0x7FFF == self.remote and oseqno == self.iseqno:
            self.iseqno = (self.iseqno + 1) % 256
            self.take(frame_type, subclass, data[12:])
        self.send(IAX, ACK, oseqno=self.oseqno)

    def take(self, frame_type, subclass, data):
        elements = {}
        while frame_type == IAX and len(data) > 1:
            elements[data[0]], data = data[2 : 2 + data[1]], data[2 + data[1] :]
        if (frame_type, subclass) == (IAX, PING):
            return self.send(IAX, PONG)
        names = {(CONTROL, ANSWER): "ANSWER", (IAX, HANGUP): "HANGUP", (IAX, REJECT): "REJECT"}
        name = names.get((frame_type, subclass))
        if name is None:
            return self.record(self.name, f"received frame {frame_type}/{subclass}")
        cause = f" {elements[CAUSECODE][0]} ({elements[CAUSE].decode()})" if CAUSECODE in elements else ""
        self.record(self.name, f"received {name}{cause}")
        if self.final is None:
            self.final, self.final_at = name + cause, time.monotonic()
        if name != "ANSWER":
            self.active = False
        self.changed.set()

    def hang_up(self):
        self.send(IAX, HANGUP, bytes([CAUSECODE, 1, 16]))
        self.active = False

    async def wait_final(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                while self.final is None:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            pass
        return self.final
