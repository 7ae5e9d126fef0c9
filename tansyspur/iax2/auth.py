"""Who may call and register: MD5 challenges (RFC 5456, section 8.6.15), registrations here and elsewhere.

Secrets are compared and answered here, and appear in no log line.
"""

import asyncio
import hashlib
import hmac
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from tansyspur.iax2.frames import AUTH_MD5, IE, FullFrame, Iax, MiniFrame, number_of, text_of
from tansyspur.iax2.transport import Address, Endpoint, Leg

REJECTED = 21  # call rejected
REFUSED = ((IE.CAUSE, "registration refused"), (IE.CAUSECODE, bytes([REJECTED])))
SHORTEST_REFRESH_S, LONGEST_REFRESH_S = 10, 3600
RETRY_S = 10.0

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class Peer:
    """Somebody known by name in the operator's file."""

    name: str
    secret: str = ""
    address: Address | None = None  # else where it has registered from
    may_call: bool = True

    def __repr__(self) -> str:
        return f"Peer({self.name})"


def answer_to(challenge: str, secret: str) -> str:
    return hashlib.md5((challenge + secret).encode(), usedforsecurity=False).hexdigest()


def is_answer(result: str, challenge: str, secret: str) -> bool:
    given, right = result.lower().encode(), answer_to(challenge, secret).encode()
    return bool(challenge) and hmac.compare_digest(given, right)


def challenge_elements(challenge: str, name: str) -> tuple[tuple[int, bytes | str], ...]:
    return (
        (IE.AUTHMETHODS, AUTH_MD5.to_bytes(2, "big")),
        (IE.CHALLENGE, challenge),
        (IE.USERNAME, name),
    )


class Registrar:
    """Takes registrations, and knows where each peer is."""

    def __init__(self, peers: dict[str, Peer], rng: random.Random, log: Log) -> None:
        self.peers, self.rng, self.log = peers, rng, log
        self.registered: dict[str, tuple[Address, float]] = {}

    def challenge(self) -> str:
        return str(self.rng.getrandbits(64))

    def address(self, name: str) -> Address | None:
        peer = self.peers.get(name)
        if peer and peer.address:
            return peer.address
        address, until = self.registered.get(name, (None, 0.0))
        return address if asyncio.get_running_loop().time() < until else None


class RegistrationLeg:
    """One REGREQ or REGREL from a peer, through its challenge to REGACK or REGREJ."""

    def __init__(self, registrar: Registrar) -> None:
        self.registrar = registrar
        self.challenge = ""

    def heard(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if not frame.is_iax(Iax.REGREQ, Iax.REGREL):
            return
        registrar, name = self.registrar, text_of(elements, IE.USERNAME)
        peer = registrar.peers.get(name)
        if peer and peer.secret and not self.challenge:
            self.challenge = registrar.challenge()
            return leg.iax(Iax.REGAUTH, *challenge_elements(self.challenge, name))
        result = text_of(elements, IE.MD5_RESULT)
        if peer is None or not peer.secret or not is_answer(result, self.challenge, peer.secret):
            registrar.log("warning", "iax2", "a registration was refused", peer=leg.address[0])
            return leg.finish(Iax.REGREJ, *REFUSED)
        if frame.is_iax(Iax.REGREL):
            registrar.registered.pop(name, None)
            return leg.finish(Iax.REGACK, (IE.USERNAME, name))
        refresh_s = number_of(elements, IE.REFRESH, 60)
        refresh_s = max(SHORTEST_REFRESH_S, min(LONGEST_REFRESH_S, refresh_s))
        registrar.registered[name] = (leg.address, leg.loop.time() + refresh_s)
        registrar.log("notice", "iax2", "registered", user=name, peer=leg.address[0])
        leg.finish(
            Iax.REGACK,
            (IE.USERNAME, name),
            (IE.DATETIME, datetime_element()),
            (IE.REFRESH, refresh_s.to_bytes(2, "big")),
            (IE.APPARENT_ADDR, apparent_address(leg.address)),
        )

    def media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None: ...

    def lost(self, leg: Leg, reason: str) -> None: ...


def datetime_element() -> bytes:
    """Section 8.6.28: year since 2000, month, day, hour, minute and two-second steps, in 32 bits."""
    now = time.gmtime()
    packed = (now.tm_year - 2000) << 25 | now.tm_mon << 21 | now.tm_mday << 16
    return (packed | now.tm_hour << 11 | now.tm_min << 5 | now.tm_sec >> 1).to_bytes(4, "big")


def apparent_address(address: Address) -> bytes:
    """Section 8.6.17: as a sockaddr_in on the wire."""
    octets = bytes(int(part) for part in address[0].split(".")) if address[0].count(".") == 3 else bytes(4)
    return b"\x02\x00" + address[1].to_bytes(2, "big") + octets + bytes(8)


class Registration:
    """Keeps this gatekeeper registered at a peer."""

    def __init__(self, endpoint: Endpoint, peer: Peer, username: str, refresh_s: int, log: Log) -> None:
        self.endpoint, self.peer, self.username, self.refresh_s, self.log = (
            endpoint,
            peer,
            username,
            refresh_s,
            log,
        )
        self.tried = False

    def start(self) -> None:
        assert self.peer.address is not None
        self.tried = False
        leg = self.endpoint.leg(self.peer.address, self)
        if leg is None:
            return self._again(RETRY_S)
        leg.iax(Iax.REGREQ, (IE.USERNAME, self.username), (IE.REFRESH, self.refresh_s.to_bytes(2, "big")))

    def _again(self, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(delay_s, self.start)

    def heard(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.REGAUTH) and not self.tried:
            self.tried = True
            result = answer_to(text_of(elements, IE.CHALLENGE), self.peer.secret)
            leg.iax(
                Iax.REGREQ,
                (IE.USERNAME, self.username),
                (IE.MD5_RESULT, result),
                (IE.REFRESH, self.refresh_s.to_bytes(2, "big")),
            )
        elif frame.is_iax(Iax.REGACK):
            leg.linger()
            self.log("info", "iax2", "registered at", user=self.peer.name)
            granted_s = number_of(elements, IE.REFRESH, self.refresh_s) or self.refresh_s
            self._again(max(1.0, granted_s * 0.75))
        elif frame.is_iax(Iax.REGREJ, Iax.REGAUTH):
            leg.linger()
            self.log(
                "warning", "iax2", "not registered", user=self.peer.name, why=text_of(elements, IE.CAUSE)
            )
            self._again(6 * RETRY_S)

    def media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None: ...

    def lost(self, leg: Leg, reason: str) -> None:
        self.log("warning", "iax2", f"registration: {reason}", user=self.peer.name)
        self._again(RETRY_S)
