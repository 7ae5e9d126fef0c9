"""The core at the deadline of a call, with a scripted controller and a caller that records what it is sent."""

import asyncio
import time

from tansyspur import interface
from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.ports import Offer
from tests.async_runner import async_test
from tests.conftest import CHECK, NS_PER_MS, settings
from tests.world import WAIT_TIMEOUT_S

REFUSAL_AHEAD_NS = 30 * NS_PER_MS  # before the deadline
STALL_AHEAD_S, STALL_S = 0.05, 0.1
RETRY_AFTER_MS = 700


class RecordingCaller:
    """Records the final answers of one call."""

    def __init__(self):
        self.answers = asyncio.Queue()

    def answer(self, description):
        self.answers.put_nowait(("answer", description))
        return True

    has_left = False

    def refuse(self, cause, retry_after_ms):
        self.answers.put_nowait(("refuse", retry_after_ms))

    def fail(self, cause):
        self.answers.put_nowait(("fail", cause))

    def release(self, cause):
        self.answers.put_nowait(("release", cause))


class RefusingController:
    """Refuses each call by a timer, REFUSAL_AHEAD_NS before its deadline."""

    def handle(self, now_ns, event):
        if isinstance(event, interface.CallOffered):
            self.call_id = event.call_id
            return [interface.SetTimer(1, event.expires_ns - REFUSAL_AHEAD_NS)]
        if isinstance(event, interface.TimerDue):
            return [interface.Refuse(self.call_id, RETRY_AFTER_MS * NS_PER_MS)]
        return []


@async_test
async def test_a_refusal_that_a_stall_delayed_to_the_deadline_is_sent_and_not_a_failure():
    # On a busy machine the order and the deadline came due together, and the order was dropped.
    lines, caller = [], RecordingCaller()
    gatekeeper = Gatekeeper(
        settings(), 1, make_switch=None, log=lambda level, msgid, text, **_: lines.append(text)
    )
    gatekeeper.controller = RefusingController()
    gatekeeper.offer(Offer("a1", CHECK.name, 300, 2, "n1", "v=0\r\n"), caller)
    asyncio.get_running_loop().call_later(0.29 - STALL_AHEAD_S, time.sleep, STALL_S)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        assert await caller.answers.get() == ("refuse", RETRY_AFTER_MS)
    await asyncio.sleep(0.05)
    assert caller.answers.empty() and not gatekeeper.calls
    assert "call failed: no decision by its deadline" not in lines
