"""The check at the end of each async test: what it leaves open fails it, and what its stand-ins own does not."""

import asyncio

import pytest

from tests.async_runner import async_test, close_at_end


@async_test
async def leave_a_stream_open():
    await connected_writer()


@async_test
async def leave_a_stream_to_the_runner():
    close_at_end(await connected_writer())


async def connected_writer():
    async def serve(reader, writer):
        close_at_end(writer)
        await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    server.close()
    return writer


@async_test
async def leave_a_task_running():
    leave_a_task_running.task = asyncio.create_task(asyncio.sleep(60))


def test_a_test_that_leaves_a_stream_open_fails():
    with pytest.raises(AssertionError, match="left 1 streams open"):
        leave_a_stream_open()
    leave_a_stream_to_the_runner()


def test_a_test_that_leaves_a_task_running_fails(monkeypatch):
    monkeypatch.setattr("tests.async_runner.END_TIMEOUT_S", 0.1)
    with pytest.raises(AssertionError, match="left 1 tasks running"):
        leave_a_task_running()
