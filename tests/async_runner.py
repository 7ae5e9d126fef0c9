"""Runs async tests, and fails those that leave a stream or a task behind when they end.

What is left open would be finalized after its event loop has closed, at any time and inside any other test: the error
of the finalizer would then be reported there, or fail it.
"""

import asyncio
import contextvars
import functools
import gc
from collections.abc import Callable

END_TIMEOUT_S = 5.0  # for the tasks that serve closed connections
MAX_REPORTED = 5

_streams: contextvars.ContextVar[list[asyncio.StreamWriter]] = contextvars.ContextVar("streams")
_owned: contextvars.ContextVar[list[asyncio.StreamWriter]] = contextvars.ContextVar("owned")
_create_stream_writer = asyncio.StreamWriter.__init__


def _note_stream(writer, *args, **kwargs):
    _create_stream_writer(writer, *args, **kwargs)
    if (streams := _streams.get(None)) is not None:
        streams.append(writer)


asyncio.StreamWriter.__init__ = _note_stream


def close_at_end(writer: asyncio.StreamWriter) -> None:
    """Close the stream when the test ends: for a stand-in whose connections live as long as its test."""
    if (owned := _owned.get(None)) is not None:
        owned.append(writer)


def async_test(test: Callable) -> Callable:
    """Run an async test function with asyncio.run, so that no pytest plugin is needed."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        try:
            asyncio.run(_run_and_check(test(*args, **kwargs)))
        finally:
            gc.collect()  # what is finalized now belongs to this test

    return run


async def _run_and_check(test) -> None:
    streams, owned = [], []
    _streams.set(streams)
    _owned.set(owned)
    try:
        await test
    finally:
        for writer in owned:
            writer.transport.abort()
        left = [writer for writer in streams if not writer.transport.is_closing()]
        for writer in left:
            writer.transport.abort()
        tasks = await _unfinished_tasks()
        await asyncio.sleep(0)  # the transports close in the next turn
    assert not left, f"the test left {len(left)} streams open: {left[:MAX_REPORTED]}"
    assert not tasks, f"the test left {len(tasks)} tasks running: {tasks[:MAX_REPORTED]}"


async def _unfinished_tasks() -> list[asyncio.Task]:
    """The tasks that go on although all streams are closed. They are cancelled."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if not others:
        return []
    _, pending = await asyncio.wait(others, timeout=END_TIMEOUT_S)
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    return list(pending)
