"""Hand-over between two processes at one address: the next process takes over the sockets of the one that serves.

The process that serves listens on a Unix socket in $TMPDIR, and sends its listening sockets to the process that
connects there. The connection stays open as long as both processes live; its end shows either of them that the other
has ended. Over it each process passes on, as JSON lines, messages for calls of the other.
"""

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

REQUEST_TIMEOUT_S = 1.0  # a predecessor that hangs must not prevent the start of the next process
MAX_SOCKETS = 4
MAX_LINE_BYTES = 4096

Log = Callable[..., None]
Sockets = dict[str, socket.socket]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


def socket_path(name: str) -> Path | None:
    """Return the path at which the process of this name hands over its sockets; None if TMPDIR is not set."""
    directory = os.environ.get("TMPDIR")
    return Path(directory, f"tansyspur-{name.replace('/', '_')}.sock") if directory else None


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
        names, descriptors, _, _ = socket.recv_fds(connection, MAX_LINE_BYTES, MAX_SOCKETS)
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
    """The connection to the other process, predecessor or successor; ended is set when it ends.

    on_message gets each message of the other process as a dictionary with the key "type".
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_message: Callable[[dict[str, Any]], None],
    ) -> None:
        self.reader, self.writer, self.on_message = reader, writer, on_message
        self.serving = False  # whether the other process has reported that it serves
        self.ended = asyncio.Event()

    def send(self, message_type: str, **members: Any) -> None:
        """Send a message, unless the connection is closing."""
        if not self.writer.is_closing():
            self.writer.write(json.dumps({"type": message_type, **members}).encode() + b"\n")

    async def run(self) -> None:
        """Receive messages until the connection ends."""
        try:
            with contextlib.suppress(OSError, ValueError):
                while line := await self.reader.readline():
                    row = json.loads(line)
                    self.serving = self.serving or row["type"] == "serving"
                    self.on_message(row)
        finally:
            self.ended.set()
            self.writer.close()


class Handover:
    """The side of the process that serves. It hands its sockets to one successor at a time.

    on_message gets the messages of the successor; on_successor_changed is called when one
    connects or ends.
    """

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
