"""A slow, paused or missing reader of standard error costs log lines, and never a call.

Guards against a write to the log that waits in the event loop: the whole program stood still until the log was read.
"""

import asyncio
import fcntl
import os
import re
import sys
import threading
import time

from tansyspur.log_writer import CLOSE_TIMEOUT_S, QueuedWriter
from tests.async_runner import async_test
from tests.world import ROOT, WAIT_TIMEOUT_S, Switch, World

PIPE_BYTES = 4096  # the least that the system allows, so that few lines fill it
CALLS = 80  # their lines are several times what the pipe holds


def small_pipe():
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return read_end, write_end


class PipeWorld(World):
    """A gatekeeper whose standard error is a small pipe, which the test reads, pauses or closes."""

    async def launch(self, console_port):
        self.read_end, write_end = small_pipe()
        process = await asyncio.create_subprocess_exec(
            sys.executable, *self.arguments, cwd=ROOT, stderr=write_end,
            env={**os.environ, "ROUTER_NAME": "n0", "ROUTER_CONFIG": str(self.config), "TMPDIR": self.folder.name},
        )  # fmt: skip
        os.close(write_end)
        reader = asyncio.StreamReader(limit=PIPE_BYTES)
        self.pipe, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(self.read_end, "rb")
        )
        self.log_readers.append(asyncio.create_task(self.read_pipe(reader)))
        return process

    async def __aexit__(self, *error):
        if not self.pipe.is_closing():
            self.pipe.resume_reading()  # the reader ends with the process
        await super().__aexit__(*error)

    async def read_pipe(self, reader):
        while line := await reader.readline():
            self.log_lines.append(line.decode().rstrip("\n"))


async def play_calls(world, switch):
    """Play calls, one after the other; each must be answered, stand, and be released by its switch only."""
    caller = await world.caller()
    for _ in range(CALLS):
        call = caller.set_up(1)
        assert (await caller.next(call))["type"] == "answer"
        assert (await switch.next("INVITE", call))[1] == call
        switch.open_calls.discard(call)
        switch.bye(call)
        assert (await caller.next(call))["type"] == "release"
    assert switch.count("CANCEL") == switch.count("BYE") == 0
    caller.close()


@async_test
async def test_calls_are_served_while_the_log_is_not_read_and_the_lines_come_later():
    switch = Switch("s-1", 1, circuits=20)
    async with PipeWorld(switch) as world:
        world.pipe.pause_reading()
        await play_calls(world, switch)
        known = len(world.log_lines)
        world.pipe.resume_reading()
        await world.wait_for_log("stands", times=CALLS)
        assert len(world.log_lines) - known > PIPE_BYTES / 200  # more than the pipe holds


@async_test
async def test_calls_are_served_after_the_reader_of_the_log_has_gone():
    # Each line raised BrokenPipeError, which cut the call that it was about.
    switch = Switch("s-1", 1, circuits=20)
    async with PipeWorld(switch) as world:
        world.pipe.close()
        await asyncio.sleep(0)
        await play_calls(world, switch)


@async_test
async def test_the_process_ends_in_time_though_nobody_reads_its_log():
    async with PipeWorld(Switch("s-1", 1, circuits=20)) as world:
        world.pipe.pause_reading()
        caller = await world.caller()
        for _ in range(CALLS):  # refused, one line each
            await caller.next(caller.set_up(99))
        assert await world.stop() == 0
        world.pipe.resume_reading()


def read_lines(read_end, until):
    """Read lines from the pipe until one matches; raises AssertionError if none comes in time."""
    text, deadline = "", time.monotonic() + WAIT_TIMEOUT_S
    os.set_blocking(read_end, False)
    while not re.search(until, text):
        assert time.monotonic() < deadline, text[-300:]
        try:
            text += os.read(read_end, PIPE_BYTES).decode()
        except BlockingIOError:
            time.sleep(0.01)
    return text.splitlines()


def reports(lines):
    return [int(line.split()[1]) for line in lines if line.startswith("dropped")]


def test_lines_beyond_the_queue_are_dropped_counted_and_reported_once():
    read_end, write_end = small_pipe()
    writer = QueuedWriter(lambda count: f"dropped {count}", write_end, max_lines=10)
    total, width = 500, 100
    filling = PIPE_BYTES // width + 20
    for _ in range(filling):  # the pipe, and then the queue
        writer.write("x" * width)
        time.sleep(0.002)
    for number in range(total):
        writer.write(f"{number:0{width}}")
    lines = []
    while not reports(lines):
        lines += read_lines(read_end, r"\n$")
    written = len(lines) - 1
    assert reports(lines) == [filling + total - written] and written > PIPE_BYTES // width
    writer.write("after")
    assert read_lines(read_end, "after\n") == ["after"]
    writer.close()
    os.close(write_end)
    os.close(read_end)


def test_the_last_lines_are_written_on_close_and_a_reader_that_is_paused_does_not_hold_it_up():
    read_end, write_end = small_pipe()
    writer = QueuedWriter(lambda count: f"dropped {count}", write_end)
    for number in range(30):
        writer.write(f"line {number}")
    writer.close()
    assert read_lines(read_end, "line 29\n") == [f"line {number}" for number in range(30)]
    blocked = QueuedWriter(lambda count: f"dropped {count}", write_end, max_lines=10)
    for _ in range(100):
        blocked.write("x" * 200)
    closing = threading.Thread(target=blocked.close, daemon=True)
    closing.start()
    closing.join(WAIT_TIMEOUT_S)
    assert not closing.is_alive() and CLOSE_TIMEOUT_S < WAIT_TIMEOUT_S
