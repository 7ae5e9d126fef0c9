"""A second copy of a refusal is not taken for the end of the next attempt of the call.

Guards against two attempts of one call out at a switch at once: the copy ended the second attempt, which the switch had
not answered yet, and a third one was sent.
"""

import asyncio

import pytest

from tansyspur.core.metrics import Metrics
from tansyspur.core.ports import Offer, SetUpRequest
from tansyspur.interface import Outcome
from tansyspur.net import recent_responses
from tansyspur.net.recent_responses import COPY_WINDOW_S, RecentResponses
from tansyspur.net.sip import MAX_CONNECTIONS_FOR_ATTEMPTS, SipSwitch
from tests.async_runner import async_test
from tests.world import WAIT_TIMEOUT_S, Switch, World

ANSWER_DELAY_S = 0.15
CALLS = 4


class CopyingSwitch(Switch):
    """Refuses the first set-ups of each call with a status, repeats that copy_delay_s later, and answers the next.

    As its base, it fails on a set-up that comes while another one of its call is open.
    """

    def __init__(self, name, number, status, copy_delay_s, refusals=1):
        super().__init__(name, number)
        self.status, self.copy_delay_s, self.refusals = status, copy_delay_s, refusals
        self.attempts = {}  # number of set-ups by Call-ID
        self.origins = {}  # connections of the set-ups by Call-ID

    def handle_setup(self, action, call_id, writer=None):
        loop = asyncio.get_running_loop()
        writer = writer or self.origin[call_id]
        self.origins.setdefault(call_id, []).append(writer)
        number = self.attempts[call_id] = self.attempts.get(call_id, 0) + 1
        if number <= self.refusals:
            super().handle_setup(self.status, call_id, writer)
            loop.call_later(self.copy_delay_s, self.send_copy, call_id, writer)
        else:
            loop.call_later(ANSWER_DELAY_S, super().handle_setup, "answer", call_id, writer)

    def send_copy(self, call_id, writer):
        status, _, note = self.status.partition(" ")
        self.send(
            writer, f"SIP/2.0 {status} No", call_id, "1 INVITE", f"X-Cause: {note}", self.refusal_header
        )


@pytest.mark.parametrize("status", ["500", "486", "480 all_trunks_busy", "503 via_said_no"])
@pytest.mark.parametrize("copy_delay_s", [0.0, 0.005, 0.05])
@async_test
async def test_a_copied_refusal_does_not_end_the_next_attempt(status, copy_delay_s):
    # The stand-in asserts that no set-up comes while another one of its call is open.
    switch = CopyingSwitch("s-1", 1, status, copy_delay_s)
    async with World(switch) as world:
        caller = await world.caller()
        for _ in range(CALLS):
            assert (await caller.next(caller.set_up(1)))["type"] == "answer"
        assert set(switch.attempts.values()) == {2}


@async_test
async def test_copies_of_several_refusals_in_a_row_end_no_attempt():
    switch = CopyingSwitch("s-1", 1, "500", 0.05, refusals=3)
    async with World(switch) as world:
        caller = await world.caller()
        for _ in range(CALLS):
            assert (await caller.next(caller.set_up(1)))["type"] == "answer"
        assert set(switch.attempts.values()) == {4}


@async_test
async def test_the_next_attempt_goes_out_at_once_where_another_connection_is_open():
    # Each faulty set-up of a switch that fails many would otherwise cost the whole window.
    switch = CopyingSwitch("s-1", 1, "500", 0.005)
    async with World(switch) as world:
        caller = await world.caller()
        for _ in range(CALLS):
            call = caller.set_up(1)
            assert (await caller.next(call))["type"] == "answer"
        connections = len(switch.writers)
        assert 1 < connections <= MAX_CONNECTIONS_FOR_ATTEMPTS
        # Attempts of one call, one after the other, on different connections.
        assert len(set(switch.origins[call])) == 2


@async_test
async def test_an_attempt_that_is_held_is_ended_by_a_drain_and_by_its_caller(monkeypatch):
    monkeypatch.setattr(recent_responses, "COPY_WINDOW_S", WAIT_TIMEOUT_S)  # held until the test ends it
    switch, signals = await CopyingSwitch("s-1", 1, "500", 0.005).start(), asyncio.Queue()
    adapter = SipSwitch(
        "s-1", f"127.0.0.1:{switch.port}", lambda report: None, lambda *args, **params: None, 0.5, Metrics(),
        lambda: None,
    )  # fmt: skip

    def start_attempt():
        offer = Offer("00000000000000aa", "lookup", 4000, 1, "1", "o=caller\r\n")
        request = SetUpRequest(offer, 0, 4000)
        return adapter.start_attempt(request, lambda: True, lambda: None, signals.put_nowait)

    async with asyncio.timeout(WAIT_TIMEOUT_S):
        await adapter.first_dial_done.wait()
        switch.server.close()  # no other connection, on which an attempt would go out at once
        start_attempt()
        assert (await signals.get()).outcome is Outcome.FAULT
        held_at_drain = start_attempt()
        assert adapter.delayed_legs == [held_at_drain]
        adapter.stop_new_attempts()
        assert (await signals.get()).outcome is Outcome.NOT_SENT
        given_up = start_attempt()
        assert adapter.delayed_legs == [given_up]
        given_up.cancel()
    assert held_at_drain.ended and given_up.ended and not adapter.delayed_legs and not adapter.legs
    await asyncio.sleep(0.1)
    assert signals.empty() and switch.count("INVITE") == 1 and switch.count("CANCEL") == 0
    adapter.close()


def test_a_window_is_kept_for_each_call_and_connection_and_forgotten_at_its_end():
    recent = RecentResponses()
    recent.add("a", "link 1", 10.0)
    recent.add("a", "link 2", 10.0 + COPY_WINDOW_S / 2)
    recent.add("b", "link 1", 10.0 + COPY_WINDOW_S / 2)
    assert set(recent.windows("a", 10.0 + COPY_WINDOW_S / 2)) == {"link 1", "link 2"}
    recent.add("a", "link 1", 10.0 + COPY_WINDOW_S * 0.75)  # once more
    assert recent.windows("a", 10.0 + COPY_WINDOW_S * 1.6) == {"link 1": 10.0 + COPY_WINDOW_S * 1.75}
    assert recent.windows("b", 10.0 + COPY_WINDOW_S * 2) == {}
    assert recent.windows("a", 10.0 + COPY_WINDOW_S * 2) == {}
    assert not recent._ends
