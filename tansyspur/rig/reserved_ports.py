"""Ports for the gatekeeper processes of a run, kept free until the processes start."""

import socket
from collections.abc import Iterable
from contextlib import ExitStack
from types import TracebackType


class ReservedPorts:
    """Context manager: a different port of one host for each name, chosen by the system and bound until the exit.

    A port that was only free when it was chosen may be assigned to the next socket that binds any free port.
    """

    def __init__(self, host: str, names: Iterable[str], socket_type: socket.SocketKind) -> None:
        self.ports: dict[str, int] = {}
        with ExitStack() as opened:
            for name in names:
                reservation = opened.enter_context(socket.socket(socket.AF_INET, socket_type))
                reservation.bind((host, 0))
                self.ports[name] = int(reservation.getsockname()[1])
            self._reservations = opened.pop_all()

    def __enter__(self) -> dict[str, int]:
        return self.ports

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._reservations.close()
