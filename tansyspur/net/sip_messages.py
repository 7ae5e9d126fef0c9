"""SIP messages (the part of RFC 3261 that PROTOCOL names): read from chunks, and made. No I/O."""

import re
from dataclasses import dataclass

from tansyspur import interface
from tansyspur.net.framing import LONGEST, Chunks, FramingError
from tansyspur.translate import parse_report

START = re.compile(r"SIP/2\.0 [1-6][0-9]{2}(?: .*)?|[A-Z]{1,16} \S+ SIP/2\.0")
HEADER = re.compile(r"[!-9;-~]+[ \t]*:.*")
# As callers and switches describe a call: a word of its own, then lines of SDP (RFC 4566).
DESCRIPTION = re.compile(r"\S+[ \t]*\r\n(?:[a-z]=[^\x00-\x08\x0a-\x1f\x7f]*\r\n)+")
COMPACT = {"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to", "m": "contact"}
SINGLE = ("call-id", "cseq", "content-length")


@dataclass(slots=True)
class Message:
    start: str
    headers: dict[str, str]
    body: memoryview

    @property
    def call_id(self) -> str:
        return self.headers.get("call-id", "")


def parse(chunks: Chunks) -> Message | None:
    """The next whole message; None if it has not come.

    What is no message is an error at once: where one begins is not known after it, and whatever is read from
    there on may be put together from pieces of others.
    """
    while chunks.view[:2] == b"\r\n":  # RFC 3261 section 7.5: empty lines before a message
        chunks.take(2)
    if chunks.view[:1] != b"\r" and chunks.view and not 65 <= chunks.view[0] <= 90:
        raise FramingError("what came is no SIP")
    end = chunks.find(b"\r\n\r\n")
    if end < 0 or end > LONGEST:
        if end > LONGEST or len(chunks.view) > LONGEST:
            raise FramingError("a SIP head is too long")
        return None
    try:
        start, *lines = str(chunks.view[:end], "utf-8").split("\r\n")
    except UnicodeDecodeError:
        raise FramingError("a SIP head that is not text") from None
    if not START.fullmatch(start):
        raise FramingError("an unreadable first line")
    headers: dict[str, str] = {}
    for line in lines:
        if not HEADER.fullmatch(line):
            raise FramingError("an unreadable header")
        name, _, value = line.partition(":")
        name = name.strip().lower()
        name = COMPACT.get(name, name)
        if name in headers and name in SINGLE:
            raise FramingError(f"a SIP message with two of {name}")  # which of them holds is anybody's guess
        headers[name] = value.strip()
    length = headers.get("content-length", "")
    if not re.fullmatch(r"[0-9]{1,9}", length):
        raise FramingError("a SIP message without a usable Content-Length")
    whole = end + 4 + int(length)
    if whole > LONGEST:
        raise FramingError("a SIP message is too long")
    if len(chunks.view) < whole:
        return None
    return Message(start, headers, chunks.take(whole)[end + 4 :])


def parse_group(text: str) -> interface.LoadReport | None:
    """A report such as 'x0:12;x1:40;queue:3', in the fields the settings name."""
    figures: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, figure = pair.partition(":")
        if re.fullmatch(r"-?[0-9]{1,15}(\.[0-9]{1,15})?", figure.strip()):
            figures[name.strip()] = float(figure)
    return parse_report(figures) if figures else None


def description(body: memoryview) -> str:
    """Of an answer. Guards against passing on one that was cut short, or that holds a part of the next
    message: a length that does not fit makes both."""
    try:
        text = str(body, "utf-8")
    except UnicodeDecodeError:
        text = ""
    if not DESCRIPTION.fullmatch(text):
        raise FramingError("an answer with an unreadable description")
    return text


def request(method: str, target: str, call_id: str, cseq: int, *headers: str, body: bytes = b"") -> bytes:
    lines = [
        f"{method} sip:{target}@net SIP/2.0",
        "Via: SIP/2.0/TCP gatekeeper",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
        *headers,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + body
