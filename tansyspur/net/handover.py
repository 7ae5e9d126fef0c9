"""Hand-over between two processes at one address: the next process takes over the sockets of the one that serves.

The process that serves listens on a Unix socket in $TMPDIR, and sends its listening sockets to the process that
connects there. The connection stays open as long as both processes live; its end shows either of them that the other
has ended. Over it each process passes on messages for calls of the other (net/handover_messages.py).
"""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from tansyspur.core.error_boundary import run_contained
from tansyspur.net.handover_messages import (
    MAX_LINE_BYTES,
    InvalidMessage,
    Message,
    Sender,
    Serving,
    decode,
    encode,
)

REQUEST_TIMEOUT_S = 1.0  # a predecessor that hangs must not prevent the start of the next process
MAX_SOCKETS = 4
MAX_UNSENT_BYTES = 1024 * 1024  # for another process that hangs
MAX_NAMES_BYTES = 4096  # the names of the sockets that are handed over

Log = Callable[..., None]
Sockets = dict[str, socket.socket]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


def directory() -> Path | None:
    """Return the folder that the processes of a gatekeeper share; None if TMPDIR is not set."""
    path = os.environ.get("TMPDIR")
    return Path(path) if path else None


def socket_path(name: str) -> Path | None:
    """Return the path at which the process of this name hands over its sockets; None without a shared folder."""
    shared = directory()
    return shared and shared / f"tansyspur-{name.replace('/', '_')}.sock"


def bind_socket(host: str, port: int, socket_type: int = socket.SOCK_STREAM) -> socket.socket:
    """Return a non-blocking socket bound to the address. Raises OSError if it cannot be bound.

    The port may be shared, in case a predecessor holds the address and does not answer.
    """
    new_socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket_type)
    try:
        if socket_type == socket.SOCK_STREAM:
            new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        new_socket.setblocking(False)
        new_socket.bind((host, port))
    except OSError:
        new_socket.close()
        raise
    return new_socket


def request_sockets(path: Path, log: Log) -> tuple[Sockets, socket.socket] | None:
    """Return the predecessor's sockets by name and the connection to it; None if no predecessor answers.

    Blocks for REQUEST_TIMEOUT_S at most, as nothing else is running yet.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(REQUEST_TIMEOUT_S)
    try:
        if path.lstat().st_uid != os.getuid():
            raise PermissionError(f"{path.name} belongs to another user")
        connection.connect(str(path))
        names, descriptors, _, _ = socket.recv_fds(connection, MAX_NAMES_BYTES, MAX_SOCKETS)
        if not descriptors:
            raise OSError("no sockets received")
    except FileNotFoundError:
        connection.close()
        return None
    except OSError as error:
        # The file may be left over from a process that was killed: start without a predecessor.
        log("notice", "handover", f"no predecessor answers: {error}")
        connection.close()
        return None
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    for sock in (connection, *sockets):
        sock.setblocking(False)
    return dict(zip(names.decode().split(), sockets, strict=False)), connection


class Partner:
    """The connection to the other process, predecessor or successor; ended is set when it ends, and only then.

    role is that of the other process. on_message gets each of its messages. A line that is none is logged and skipped:
    its end must not be taken for the end of the other process, whose calls would then be cut.
    """

    def __init__(
        self,
        role: Sender,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_message: Callable[[Message], None],
        log: Log,
    ) -> None:
        self.role, self.reader, self.writer = role, reader, writer
        self.own_role = Sender.SUCCESSOR if role is Sender.PREDECESSOR else Sender.PREDECESSOR
        self.on_message, self.log = on_message, log
        self.serving = False  # whether the other process has reported that it serves
        self.ended = asyncio.Event()

    def send(self, message: Message) -> None:
        """Send a message, unless the connection is closing. One that cannot be sent is logged and dropped."""
        try:
            line = encode(message, self.own_role)
            if self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                raise InvalidMessage("the other process does not read")
        except InvalidMessage as error:
            return self.log("warning", "handover", f"message not sent to the {self.role.value}: {error}")
        if not self.writer.is_closing():
            self.writer.write(line)

    async def run(self) -> None:
        """Receive messages until the connection ends."""
        try:
            with contextlib.suppress(OSError):
                while (line := await self._next_line()) != b"":
                    self._on_line(line)
        finally:
            self.ended.set()
            self.writer.close()

    async def _next_line(self) -> bytes | None:
        """The next line; None for one that is too long, which is discarded; b"" at the end of the connection."""
        try:
            return await self.reader.readline()
        except ValueError:
            return None

    def _on_line(self, line: bytes | None) -> None:
        try:
            if line is None:
                raise InvalidMessage(f"a line longer than {MAX_LINE_BYTES} bytes")
            message = decode(line, self.role)
        except InvalidMessage as error:
            return self.log("warning", "handover", f"ignored from the {self.role.value}: {error}")
        self.serving = self.serving or isinstance(message, Serving)
        if message:
            run_contained(self.log, "handover", self.on_message, message)


class Handover:
    """The side of the process that serves. It hands its sockets to one successor at a time.

    on_message gets the messages of the successor; on_successor_changed is called when one
    connects or ends.
    """

    def __init__(
        self,
        path: Path,
        sockets: Sockets,
        on_message: Callable[[Partner, Message], None],
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
        """Listen at the path, also where a stale file is left.

        The file is replaced by a rename, so that there is a socket at the path at every moment.
        """
        temporary_path = self.path.with_suffix(f".{os.getpid()}")
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self.close()
            temporary_path.unlink(missing_ok=True)
            listening.bind(str(temporary_path))
            temporary_path.chmod(0o600)  # whoever can connect gets the listening sockets
            self.server = await asyncio.start_unix_server(
                self._on_successor_connected, sock=listening, limit=MAX_LINE_BYTES
            )
            temporary_path.replace(self.path)
        except OSError as error:
            # $TMPDIR may be read-only or its path too long: serve anyway; a replacement then interrupts the service.
            self.log("warning", "handover", f"cannot listen for a successor at {self.path.name}: {error}")
            listening.close()

    async def _on_successor_connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.successor:
            self.log(
                "warning", "handover", "a successor is connected already; closing the connection of another"
            )
            return writer.transport.abort()
        sockets = self.sockets
        # The transport's socket object has no sendmsg(): wrap a copy of its descriptor.
        connection = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        try:
            socket.send_fds(
                connection, [" ".join(sockets).encode()], [sock.fileno() for sock in sockets.values()]
            )
        except OSError as error:
            self.log(
                "warning",
                "handover",
                f"sending the sockets to the successor failed; closing its connection ({error})",
            )
            return writer.transport.abort()
        finally:
            connection.close()
        self.log("notice", "handover", "successor connected; sockets sent")
        partner = self.successor = Partner(
            Sender.SUCCESSOR, reader, writer, lambda message: self.on_message(partner, message), self.log
        )
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
