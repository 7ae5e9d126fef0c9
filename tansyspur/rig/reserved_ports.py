"""Ports for the gatekeeper processes of a run, kept free until the processes start."""

import socket
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager


@contextmanager
def reserved_ports(
    host: str, names: Iterable[str], socket_type: socket.SocketKind
) -> Iterator[dict[str, int]]:
    """Bind a different port of one host for each name, chosen by the system, until the context ends.

    A port that was only free when it was chosen may be assigned to the next socket that binds any free port.
    """
    with ExitStack() as reservations:
        ports = {}
        for name in names:
            reservation = reservations.enter_context(socket.socket(socket.AF_INET, socket_type))
            reservation.bind((host, 0))
            ports[name] = int(reservation.getsockname()[1])
        yield ports
