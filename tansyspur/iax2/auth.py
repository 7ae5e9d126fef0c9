"""Authentication and registration: MD5 challenges (RFC 5456, section 8.6.15), and registrations in both directions.

A Registrar accepts registrations of IAX2 peers; a Registration keeps the gatekeeper registered at one of them.
Secrets are used in this module only, and must not appear in a log line.
"""

import asyncio
import hashlib
import hmac
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from tansyspur.iax2.frames import AUTH_MD5, IE, FullFrame, Iax, MiniFrame, element_number, element_text
from tansyspur.iax2.transport import Address, Endpoint, Leg

CALL_REJECTED = 21  # Q.850: call rejected
REGISTRATION_REFUSED = ((IE.CAUSE, "registration refused"), (IE.CAUSECODE, bytes([CALL_REJECTED])))
MIN_REFRESH_S, MAX_REFRESH_S = 10, 3600
REGISTRATION_RETRY_S = 10.0

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class Peer:
    """A remote IAX2 system that the operator's file names."""

    name: str
    secret: str = ""
    address: Address | None = None  # None: the address that it registered from
    may_call: bool = True

    def __repr__(self) -> str:
        return f"Peer({self.name})"


def md5_result(challenge: str, secret: str) -> str:
    """The value of MD5 RESULT that answers the challenge."""
    return hashlib.md5((challenge + secret).encode(), usedforsecurity=False).hexdigest()


def is_md5_result(result: str, challenge: str, secret: str) -> bool:
    """Whether the result answers the challenge. Compares in constant time; an empty challenge has no answer."""
    received, expected = result.lower().encode(), md5_result(challenge, secret).encode()
    return bool(challenge) and hmac.compare_digest(received, expected)


def challenge_elements(challenge: str, name: str) -> tuple[tuple[int, bytes | str], ...]:
    """The information elements of an AUTHREQ or REGAUTH."""
    return (
        (IE.AUTHMETHODS, AUTH_MD5.to_bytes(2, "big")),
        (IE.CHALLENGE, challenge),
        (IE.USERNAME, name),
    )


class Registrar:
    """The IAX2 peers of the operator's file, and the addresses that they have registered.

    registrations: per peer name, the address and the event-loop time at which it expires.
    """

    def __init__(self, peers: dict[str, Peer], rng: random.Random, log: Log) -> None:
        self.peers, self.rng, self.log = peers, rng, log
        self.registrations: dict[str, tuple[Address, float]] = {}

    def new_challenge(self) -> str:
        return str(self.rng.getrandbits(64))

    def address(self, name: str) -> Address | None:
        """The configured address of the peer, else the registered one; None if there is no valid one."""
        peer = self.peers.get(name)
        if peer and peer.address:
            return peer.address
        address, expires_at = self.registrations.get(name, (None, 0.0))
        return address if asyncio.get_running_loop().time() < expires_at else None


class RegistrationLeg:
    """The leg of one registration by a peer: REGREQ or REGREL, challenge, then REGACK or REGREJ."""

    def __init__(self, registrar: Registrar) -> None:
        self.registrar = registrar
        self.challenge = ""

    def on_frame(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if not frame.is_iax(Iax.REGREQ, Iax.REGREL):
            return
        registrar, name = self.registrar, element_text(elements, IE.USERNAME)
        peer = registrar.peers.get(name)
        if peer and peer.secret and not self.challenge:
            self.challenge = registrar.new_challenge()
            return leg.send_iax(Iax.REGAUTH, *challenge_elements(self.challenge, name))
        result = element_text(elements, IE.MD5_RESULT)
        if peer is None or not peer.secret or not is_md5_result(result, self.challenge, peer.secret):
            registrar.log("warning", "iax2", "registration refused", peer=leg.address[0])
            return leg.finish(Iax.REGREJ, *REGISTRATION_REFUSED)
        if frame.is_iax(Iax.REGREL):
            registrar.registrations.pop(name, None)
            return leg.finish(Iax.REGACK, (IE.USERNAME, name))
        refresh_s = element_number(elements, IE.REFRESH, 60)
        refresh_s = max(MIN_REFRESH_S, min(MAX_REFRESH_S, refresh_s))
        registrar.registrations[name] = (leg.address, leg.loop.time() + refresh_s)
        registrar.log("notice", "iax2", "peer registered", user=name, peer=leg.address[0])
        leg.finish(
            Iax.REGACK,
            (IE.USERNAME, name),
            (IE.DATETIME, datetime_element()),
            (IE.REFRESH, refresh_s.to_bytes(2, "big")),
            (IE.APPARENT_ADDR, apparent_address(leg.address)),
        )

    def on_media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None: ...

    def on_lost(self, leg: Leg, reason: str) -> None: ...


def datetime_element() -> bytes:
    """The UTC time in 32 bits: years since 2000, month, day, hour, minute, and seconds / 2 (section 8.6.28)."""
    now = time.gmtime()
    packed = (now.tm_year - 2000) << 25 | now.tm_mon << 21 | now.tm_mday << 16
    return (packed | now.tm_hour << 11 | now.tm_min << 5 | now.tm_sec >> 1).to_bytes(4, "big")


def apparent_address(address: Address) -> bytes:
    """The address in the layout of a sockaddr_in (section 8.6.17); 0.0.0.0 for one that is not IPv4."""
    octets = bytes(int(part) for part in address[0].split(".")) if address[0].count(".") == 3 else bytes(4)
    return b"\x02\x00" + address[1].to_bytes(2, "big") + octets + bytes(8)


class Registration:
    """Keeps this gatekeeper registered at a peer.

    A registration is renewed after 3/4 of the granted time. It is tried again REGISTRATION_RETRY_S after a failure of
    the leg, and after 6 times as long when it was refused.
    """

    def __init__(self, endpoint: Endpoint, peer: Peer, username: str, refresh_s: int, log: Log) -> None:
        self.endpoint, self.peer, self.username, self.refresh_s, self.log = (
            endpoint,
            peer,
            username,
            refresh_s,
            log,
        )
        self.challenge_answered = False

    def start(self) -> None:
        """Send a REGREQ; later ones are scheduled from its result."""
        assert self.peer.address is not None
        self.challenge_answered = False
        leg = self.endpoint.open_leg(self.peer.address, self)
        if leg is None:
            return self._start_later(REGISTRATION_RETRY_S)
        leg.send_iax(
            Iax.REGREQ, (IE.USERNAME, self.username), (IE.REFRESH, self.refresh_s.to_bytes(2, "big"))
        )

    def _start_later(self, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(delay_s, self.start)

    def on_frame(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.REGAUTH) and not self.challenge_answered:
            self.challenge_answered = True
            result = md5_result(element_text(elements, IE.CHALLENGE), self.peer.secret)
            leg.send_iax(
                Iax.REGREQ,
                (IE.USERNAME, self.username),
                (IE.MD5_RESULT, result),
                (IE.REFRESH, self.refresh_s.to_bytes(2, "big")),
            )
        elif frame.is_iax(Iax.REGACK):
            leg.linger()
            self.log("info", "iax2", "registered at peer", user=self.peer.name)
            granted_s = element_number(elements, IE.REFRESH, self.refresh_s) or self.refresh_s
            self._start_later(max(1.0, granted_s * 0.75))
        elif frame.is_iax(Iax.REGREJ, Iax.REGAUTH):
            leg.linger()
            self.log(
                "warning",
                "iax2",
                "registration refused by peer; trying again later",
                user=self.peer.name,
                why=element_text(elements, IE.CAUSE),
            )
            self._start_later(6 * REGISTRATION_RETRY_S)

    def on_media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None: ...

    def on_lost(self, leg: Leg, reason: str) -> None:
        self.log(
            "warning", "iax2", f"registration at peer failed, trying again: {reason}", user=self.peer.name
        )
        self._start_later(REGISTRATION_RETRY_S)
