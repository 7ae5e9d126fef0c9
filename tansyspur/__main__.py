"""The gatekeeper: `python -m tansyspur [--operator FILE]`.

Exit codes: 0 ended as told, 1 cannot run (an address is taken, say), 2 an unusable configuration.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from tansyspur import config as configuration
from tansyspur import interface as face
from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.ports import Switch
from tansyspur.iax2.auth import Registrar, Registration
from tansyspur.iax2.back import Iax2Switch
from tansyspur.iax2.front import Iax2Front, turn_away
from tansyspur.iax2.media import Bridge
from tansyspur.iax2.transport import Endpoint
from tansyspur.net import handover
from tansyspur.net.channel import Channel
from tansyspur.net.console import Console
from tansyspur.net.handover import Handover, Partner
from tansyspur.net.jsonlines import JsonLinesFront
from tansyspur.net.peers import Peers, split
from tansyspur.net.sip import SipSwitch
from tansyspur.syslog import Syslog

ACCEPT_S = 0.8  # after SIGTERM, connections and requests keep coming for 0.6 s
EXIT_MARGIN_S = 0.4  # before the time at which SIGKILL may come
LONGEST_REPLACED_S = 5.0  # counted as the longest deadline, where another process takes the calls
CURRENT_S = 2.5  # for the command channel's first number, which comes each second
READY_S = 1.5  # a switch that cannot be dialled must not keep the gatekeeper from its test for longer


async def serve(config: configuration.Config, log: Syslog, operator: str | None) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log("error", "loop", str(context.get("exception") or context["message"]))
    )
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    switches: list[SipSwitch] = []
    callers: Iax2Front | None = None
    bridge, rng = Bridge(), random.Random(config.seed)
    registrar = Registrar(config.iax2.peers if config.iax2 else {}, rng, log)
    endpoint = Endpoint(log, rng)

    def make_switch(name: str, address: str, on_report: Callable[[face.Report], None]) -> Switch:
        by_iax2 = config.iax2.switches.get(name) if config.iax2 else None
        if config.iax2 and by_iax2:
            return Iax2Switch(
                name,
                endpoint,
                registrar,
                bridge,
                config.iax2.peers[by_iax2.peer],
                config.iax2.username,
                by_iax2.circuits,
                by_iax2.context,
                by_iax2.qualify_s,
                on_report,
                log,
            )
        switches[:] = [one for one in switches if not one.retired]
        made = SipSwitch(name, address, on_report, log, config.dial_timeout_s)
        switches.append(made)
        return made

    gatekeeper = Gatekeeper(config.settings, config.seed, make_switch, log)
    peers = Peers(list(config.peers), config.peers_all, gatekeeper.peer_message, log)
    console = Console(gatekeeper, log)
    if config.console:
        gatekeeper.spawn(console.open(*config.console), "console")
    path = handover.place(config.name)
    asked = handover.ask(path, log) if path else None
    sockets, line = asked or ({}, None)
    if "callers" not in sockets:
        sockets["callers"] = handover.listener(*config.listen)
    if config.peer_listen and config.settings.may_message:
        if "peers" not in sockets:
            sockets["peers"] = handover.listener(*split(config.peer_listen), socket.SOCK_DGRAM)
        gatekeeper.messenger = peers
    channel = Channel(config.channel, gatekeeper.list_changed, gatekeeper.spawn, log)
    channel.known(dict(config.known))
    channel.start()

    def reload() -> None:
        """Take the new file whole, or keep to the old one; no call notices."""
        nonlocal config
        try:
            fresh = configuration.load(operator=operator, like=config)
        except configuration.ConfigError as error:
            gatekeeper.figures.bad_reloads += 1
            return log("error", "reload", f"the old configuration stays: {error}")
        later = [key for key in configuration.AT_START if getattr(fresh, key) != getattr(config, key)]
        if configuration.beside_numbers(fresh.iax2) != configuration.beside_numbers(config.iax2):
            later.append("iax2")
        log(
            "notice",
            "reload",
            "configuration read",
            channel=fresh.channel,
            classes=",".join(kind.name for kind in fresh.settings.classes),
            **({"at_next_start": ",".join(later)} if later else {}),
        )
        kept = {key: getattr(config, key) for key in (*configuration.AT_START, "iax2")}
        config = replace(fresh, **kept)
        gatekeeper.figures.reloads += 1
        log.set_level(fresh.syslog.level)
        gatekeeper.retune(fresh.settings)
        for switch in switches:
            switch.dial_timeout_s = fresh.dial_timeout_s
        if callers and fresh.iax2:
            callers.set_numbers(fresh.iax2.numbers)
        channel.move(fresh.channel)

    loop.add_signal_handler(signal.SIGHUP, reload)
    front = JsonLinesFront(gatekeeper, log, config.limits.sockets * 6 // 10, sockets["callers"])

    def share() -> None:
        """Two processes share one budget of descriptors, one has it all."""
        two = predecessor is not None or post is not None and post.successor is not None
        front.limit(config.limits.sockets * (3 if two else 6) // 10)

    def from_successor(partner: Partner, row: dict[str, Any]) -> None:
        """It serves: nothing new comes here, and what finds no connection here may find one there."""
        if row["type"] == "serving":
            log("notice", "handover", "the successor serves", calls=len(gatekeeper.calls))
            front.stop_accepting()
            peers.close()
            gatekeeper.messenger = None
            front.elsewhere, front.hands_over = partner.tell, True
            front.pass_owed()
        elif row["type"] == "release":
            front.heard_elsewhere(row)

    def successor_changed() -> None:
        share()
        if post and not post.successor and front.hands_over:
            # It has gone before it was needed, or we end and do so alone.
            front.elsewhere, front.hands_over = None, False
            if not gatekeeper.ending:
                gatekeeper.spawn(serve_callers(), "take up again")

    def from_predecessor(row: dict[str, Any]) -> None:
        if row["type"] == "release":
            front.release_elsewhere(row)

    async def serve_callers() -> None:
        await front.accept()
        if "peers" in sockets:
            await peers.open(sockets["peers"])
            gatekeeper.messenger = peers
        if post:
            await post.open()

    async def open_iax2(iax2: configuration.Iax2Config) -> None:
        """A call's frames come to its own process only, so the predecessor keeps the address to its end."""
        if predecessor:
            await predecessor.gone.wait()
        await endpoint.open(*iax2.listen)
        log("notice", "start", "listening for IAX2", address=":".join(map(str, iax2.listen)))
        for name, refresh_s in iax2.register.items():
            Registration(endpoint, iax2.peers[name], iax2.username, refresh_s, log).start()

    async def until_ready() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                while waited := [
                    one for one in switches if not one.retired and not one.ever_dialled.is_set()
                ]:
                    await waited[0].ever_dialled.wait()

    predecessor: Partner | None = None
    post = (
        Handover(path, lambda: sockets, from_successor, successor_changed, gatekeeper.spawn, log)
        if path
        else None
    )
    if line:
        # The predecessor serves until this process knows as much as it does.
        reader, writer = await asyncio.open_unix_connection(sock=line)
        predecessor = Partner(reader, writer, from_predecessor)
        gatekeeper.spawn(predecessor.run(), "predecessor")
        share()
        front.elsewhere = predecessor.tell
        log("notice", "handover", "taking over", sockets=",".join(sockets))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CURRENT_S):
                await channel.current.wait()
        await until_ready()
        await gatekeeper.not_paused.wait()  # a process that sends callers away takes none over
        await serve_callers()
        predecessor.tell("serving")
        gatekeeper.started = True

        async def alone() -> None:
            nonlocal predecessor
            assert predecessor
            await predecessor.gone.wait()
            predecessor = front.elsewhere = None
            share()
            log("notice", "handover", "the predecessor has gone")

        gatekeeper.spawn(alone(), "alone")
    else:
        await serve_callers()
        gatekeeper.spawn(until_ready(), "start").add_done_callback(
            lambda _: setattr(gatekeeper, "started", True)
        )
    if config.iax2:
        callers = Iax2Front(
            gatekeeper,
            registrar,
            config.iax2.numbers,
            bridge,
            rng,
            log,
            config.iax2.most_calls,
            config.iax2.guests,
        )
        endpoint.on_new, endpoint.available = callers.on_new, lambda: gatekeeper.admits
        if predecessor:
            gatekeeper.spawn(open_iax2(config.iax2), "IAX2")
        else:
            await open_iax2(config.iax2)
    log("notice", "start", "listening", name=config.name, address=":".join(map(str, config.listen)))
    await stop.wait()

    log("notice", "stop", "finishing what was taken", calls=len(gatekeeper.calls))
    gatekeeper.ending = True
    stopped = loop.time()
    successor = post.successor if post else None
    if successor and successor.serving:
        front.send_away()
        endpoint.on_new = turn_away
        until = stopped + min(LONGEST_REPLACED_S, config.longest_deadline_s) + 0.7 - EXIT_MARGIN_S
        await gatekeeper.finish(until - loop.time(), keep_standing=True)
        # Guards against set-ups that come, and go down with us, on a connection that was never without one.
        front.send_off()
        # What stands goes on until its end, or until we are killed.
        over = [asyncio.ensure_future(wait) for wait in (gatekeeper.all_over(), successor.gone.wait())]
        await asyncio.wait(over, return_when=asyncio.FIRST_COMPLETED)
        await gatekeeper.finish(0)
    else:
        await asyncio.sleep(ACCEPT_S)
        front.stop_accepting()
        endpoint.on_new = turn_away
        until = stopped + max(3.0, config.longest_deadline_s) + 0.7 - EXIT_MARGIN_S
        await gatekeeper.finish(until - loop.time())
    front.send_off()
    gatekeeper.close()
    peers.close()
    console.close()
    await asyncio.sleep(0.1)  # the last releases leave, and what crossed the close is dropped
    endpoint.close()
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="tansyspur", description="The gatekeeper of one store switch.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's TOML file, see deploy/")
    arguments = parser.parse_args()
    try:
        config = configuration.load(operator=arguments.operator)
    except configuration.ConfigError as error:
        print(f"tansyspur: {error}", file=sys.stderr)
        return 2
    log = Syslog(config.name, config.syslog.level, config.syslog.export)
    try:
        return asyncio.run(serve(config, log, arguments.operator))
    except OSError as error:
        log("error", "start", f"cannot run: {error}")
        return 1
    finally:
        log.close()


if __name__ == "__main__":
    sys.exit(main())
