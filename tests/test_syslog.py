"""Log lines follow RFC 5424, are limited in rate, and are sent to a collector if the operator names one."""

import asyncio
import re
import socket

from tansyspur.syslog import BURST_LINES, Syslog
from tests.async_runner import async_test
from tests.world import WAIT_TIMEOUT_S, Switch, World

LOG_LINE = re.compile(
    r"<(\d{1,3})>1 \d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z [!-~]{1,255} tansyspur \d+ [!-~]{1,32} "
    r'(-|\[call@32473( [!#-<>-\\^-~]{1,32}="([^"\\\]]|\\["\\\]])*")*\]) (.*)'
)


def test_structured_data_is_escaped_and_a_line_stays_one_line(capsys):
    log = Syslog("host name\n", "debug")
    log("warning", "a b", "text\nwith ends", value='q"b\\s]e\nx', empty="")
    line = capsys.readouterr().err
    assert line.count("\n") == 1 and LOG_LINE.fullmatch(line.rstrip("\n")) and line.startswith("<132>1 ")
    assert r'value="q\"b\\s\]e?x"' in line and "empty" not in line and " hostname " in line


def test_beyond_the_burst_lines_are_dropped_and_counted(capsys):
    log = Syslog("h")
    for _ in range(int(BURST_LINES) * 2):
        log("info", "x", "y")
    log("debug", "x", "below the threshold")
    log.close()
    lines = capsys.readouterr().err.splitlines()
    dropped = sum(int(re.search(r"(\d+) lines were dropped", line)[1]) for line in lines if "dropped" in line)
    kept = sum(line.endswith(" y") for line in lines)
    assert (
        dropped > 0 and kept + dropped == BURST_LINES * 2 and all(LOG_LINE.fullmatch(line) for line in lines)
    )


@async_test
async def test_a_collector_gets_the_call_records():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.setblocking(False)
        address = f"127.0.0.1:{collector.getsockname()[1]}"
        async with World(Switch("s-1", 1), operator=f'[syslog]\nudp = "{address}"\n') as world:
            caller = await world.caller()
            call = caller.set_up(1)
            await caller.next(call, "answer")
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                text = ""
                while f'call="{call}"' not in text:
                    text = (await asyncio.get_running_loop().sock_recv(collector, 4096)).decode()
                    assert LOG_LINE.fullmatch(text)
            assert text.endswith("] stands")
            await world.wait_for_log(re.escape(text))  # the same line on standard error
