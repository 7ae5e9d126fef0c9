"""Two processes, one address: the next process takes over the sockets of the one that serves.

The one that serves listens on a Unix socket in $TMPDIR. Whoever connects there gets its listening sockets.
The connection stays open for as long as both live: its end tells either that the other has gone. Over it each
passes on, as JSON lines, what belongs to a call of the other.
"""

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ASK_S = 1.0  # a predecessor that hangs must not keep the next one from its start
MOST_SOCKETS = 4
LONGEST_LINE = 4096

Log = Callable[..., None]
Sockets = dict[str, socket.socket]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


def socket_path(name: str) -> Path | None:
    """Where the process of this name is asked; none without a folder of our own."""
    folder = os.environ.get("TMPDIR")
    return Path(folder, f"tansyspur-{name.replace('/', '_')}.sock") if folder else None


def bind_socket(host: str, port: int, socket_type: int = socket.SOCK_STREAM) -> socket.socket:
    """A bound socket. It may be shared, for a predecessor that holds the address and does not answer."""
    made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket_type)
    try:
        if socket_type == socket.SOCK_STREAM:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.setblocking(False)
        made.bind((host, port))
    except OSError:
        made.close()
        raise
    return made


def request_sockets(path: Path, log: Log) -> tuple[Sockets, socket.socket] | None:
    """The predecessor's sockets and the connection to it; None where nobody answers.

    It blocks, as nothing else runs yet.
    """
    line = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    line.settimeout(ASK_S)
    try:
        if path.lstat().st_uid != os.getuid():
            raise PermissionError(f"{path.name} is somebody else's")
        line.connect(str(path))
        names, descriptors, _, _ = socket.recv_fds(line, LONGEST_LINE, MOST_SOCKETS)
        if not descriptors:
            raise OSError("it gave no sockets")
    except FileNotFoundError:
        line.close()
        return None
    except OSError as error:
        # A stale file, from a process that was killed: nothing is wrong with a fresh start.
        log("notice", "handover", f"no predecessor answers: {error}")
        line.close()
        return None
    given = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    for one in (line, *given):
        one.setblocking(False)
    return dict(zip(names.decode().split(), given, strict=False)), line


class Partner:
    """The other process."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_message: Callable[[dict[str, Any]], None],
    ) -> None:
        self.reader, self.writer, self.on_message = reader, writer, on_message
        self.serving = False  # it has said that it serves
        self.gone = asyncio.Event()

    def send(self, kind: str, **more: Any) -> None:
        if not self.writer.is_closing():
            self.writer.write(json.dumps({"type": kind, **more}).encode() + b"\n")

    async def run(self) -> None:
        try:
            with contextlib.suppress(OSError, ValueError):
                while line := await self.reader.readline():
                    row = json.loads(line)
                    self.serving = self.serving or row["type"] == "serving"
                    self.on_message(row)
        finally:
            self.gone.set()
            self.writer.close()


class Handover:
    """The side of the process that serves. At most one other is its successor."""

    def __init__(
        self,
        path: Path,
        sockets: Sockets,
        on_message: Callable[[Partner, dict[str, Any]], None],
        on_successor_changed: Callable[[], None],
        spawn: Spawn,
        log: Log,
    ) -> None:
        self.path, self.sockets, self.on_message, self.on_successor_changed = (
            path,
            sockets,
            on_message,
            on_successor_changed,
        )
        self.spawn, self.log = spawn, log
        self.successor: Partner | None = None
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Take the place, from a stale file too: by rename, so that there is one at every moment."""
        fresh = self.path.with_suffix(f".{os.getpid()}")
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self.close()
            fresh.unlink(missing_ok=True)
            listening.bind(str(fresh))
            fresh.chmod(0o600)  # whoever can ask gets the address
            self.server = await asyncio.start_unix_server(self._asked, sock=listening, limit=LONGEST_LINE)
            fresh.replace(self.path)
        except OSError as error:
            # A long or read-only $TMPDIR: it serves all the same, and cannot be replaced without a gap.
            self.log("warning", "handover", f"no successor can ask at {self.path.name}: {error}")
            listening.close()

    async def _asked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.successor:
            self.log("warning", "handover", "a second successor was turned away")
            return writer.transport.abort()
        given = self.sockets
        # The transport's socket has no sendmsg; its descriptor, wrapped for the moment, has.
        line = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        try:
            socket.send_fds(line, [" ".join(given).encode()], [one.fileno() for one in given.values()])
        except OSError as error:
            self.log("warning", "handover", f"the sockets were not passed on: {error}")
            return writer.transport.abort()
        finally:
            line.close()
        self.log("notice", "handover", "a successor starts")
        partner = self.successor = Partner(reader, writer, lambda row: self.on_message(partner, row))
        self.on_successor_changed()
        try:
            await partner.run()
        finally:
            self.successor = None
            self.log("notice", "handover", "the successor has gone")
            self.on_successor_changed()

    def close(self) -> None:
        if self.server:
            self.server.close()
