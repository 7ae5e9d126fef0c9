"""Parsing and formatting of SIP messages: the subset of RFC 3261 that PROTOCOL names. No I/O."""

import re
from dataclasses import dataclass

from tansyspur import interface
from tansyspur.net.framing import MAX_MESSAGE_BYTES, Chunks, FramingError
from tansyspur.translate import parse_report

START_LINE = re.compile(r"SIP/2\.0 [1-6][0-9]{2}(?: .*)?|[A-Z]{1,16} \S+ SIP/2\.0")
HEADER = re.compile(r"[!-9;-~]+[ \t]*:.*")
# The description of a call's media: one word that both sides leave as it is, then lines of SDP (RFC 4566).
DESCRIPTION = re.compile(r"\S+[ \t]*\r\n(?:[a-z]=[^\x00-\x08\x0a-\x1f\x7f]*\r\n)+")
# A further line of SDP, or its first byte, behind a body: no message begins with a letter in lower case.
BODY_CONTINUES = re.compile(rb"[a-z](?:=|\Z)")
COMPACT_HEADER_NAMES = {
    "i": "call-id",
    "l": "content-length",
    "v": "via",
    "f": "from",
    "t": "to",
    "m": "contact",
}
INVITE_CSEQ = 1  # of each set-up; its answers, and the ACK and CANCEL, have the same
SINGLE_HEADERS = ("call-id", "cseq", "content-length")


@dataclass(slots=True)
class Message:
    """A request or response. Header names are in lower case, compact forms expanded."""

    start_line: str
    headers: dict[str, str]
    body: memoryview

    @property
    def call_id(self) -> str:
        return self.headers.get("call-id", "")


def parse_message(chunks: Chunks) -> Message | None:
    """Consume and return the next complete message; None if it has not arrived.

    Raises FramingError at the first byte that cannot belong to a message: after it the start of the next message is
    unknown, and anything read from there on could be assembled from parts of several messages. The same holds for a
    message whose body goes on behind its Content-Length: what was counted of it is not what was sent.
    """
    while chunks.view[:2] == b"\r\n":  # RFC 3261 section 7.5: empty lines before a message
        chunks.take(2)
    if chunks.view[:1] != b"\r" and chunks.view and not 65 <= chunks.view[0] <= 90:
        raise FramingError("not a SIP message")
    head_bytes = chunks.find(b"\r\n\r\n")
    if head_bytes < 0 or head_bytes > MAX_MESSAGE_BYTES:
        if head_bytes > MAX_MESSAGE_BYTES or len(chunks.view) > MAX_MESSAGE_BYTES:
            raise FramingError(f"SIP header section longer than {MAX_MESSAGE_BYTES // 1024} KiB")
        return None
    try:
        start_line, *lines = str(chunks.view[:head_bytes], "utf-8").split("\r\n")
    except UnicodeDecodeError:
        raise FramingError("SIP header section is not UTF-8") from None
    if not START_LINE.fullmatch(start_line):
        raise FramingError("malformed SIP start line")
    headers: dict[str, str] = {}
    for line in lines:
        if not HEADER.fullmatch(line):
            raise FramingError("malformed SIP header")
        name, _, value = line.partition(":")
        name = name.strip().lower()
        name = COMPACT_HEADER_NAMES.get(name, name)
        if name in headers and name in SINGLE_HEADERS:
            raise FramingError(f"SIP message with more than one {name}")  # which one is valid is not defined
        headers[name] = value.strip()
    length = headers.get("content-length", "")
    if not re.fullmatch(r"[0-9]{1,9}", length):
        raise FramingError("SIP message without a valid Content-Length")
    total_bytes = head_bytes + 4 + int(length)
    if total_bytes > MAX_MESSAGE_BYTES:
        raise FramingError(f"SIP message longer than {MAX_MESSAGE_BYTES // 1024} KiB")
    if len(chunks.view) < total_bytes:
        return None
    if int(length) and BODY_CONTINUES.match(chunks.view[total_bytes:]):
        raise FramingError("SIP message with a Content-Length that is too short for its body")
    return Message(start_line, headers, chunks.take(total_bytes)[head_bytes + 4 :])


def parse_group_header(text: str) -> interface.LoadReport | None:
    """Parse a load report such as 'x0:12;x1:40;queue:3'; the settings name its keys. None if it has no values."""
    values: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        if re.fullmatch(r"-?[0-9]{1,15}(\.[0-9]{1,15})?", value.strip()):
            values[name.strip()] = float(value)
    return parse_report(values) if values else None


def answer_description(body: memoryview) -> str:
    """Return the media description in the body of an answer.

    Raises FramingError if it is malformed. A wrong Content-Length truncates the description or appends a part of the
    next message; without this check it would be passed on to the caller.
    """
    try:
        text = str(body, "utf-8")
    except UnicodeDecodeError:
        text = ""
    if not DESCRIPTION.fullmatch(text):
        raise FramingError("answer with a malformed media description")
    return text


def format_request(
    method: str, target: str, call_id: str, cseq: int, *headers: str, body: bytes = b""
) -> bytes:
    """Return a request in wire format. target is the user part of the request URI."""
    lines = [
        f"{method} sip:{target}@net SIP/2.0",
        "Via: SIP/2.0/TCP gatekeeper",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
        *headers,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + body
