"""What is sent again and what is not, and what the caller is told: one fault at a time."""

import curio
import pytest

from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.dispatch import Dispatch
from ...pipeline.exchange import Body
from ...policy.base import Failure
from .fakes import Act, Bench, Blaming

ONCE = {"idempotent": "no"}
AGAIN = {"idempotent": "yes"}
HEDGED = {"idempotent": "yes", "hedge": "yes"}


def blame(bench):
    """Have the bench's crashes entered in the service's ledger, as a daemon does."""
    bench.observer = Blaming(bench.services.by_name["s"].ledger, bench.clock)
    bench.dispatch = Dispatch(bench.services, bench.network, bench.clock, bench.observer)


def refused(bench, exchange):
    """Dispatch a call that must be refused; return the refusal."""
    with pytest.raises(Refusal) as caught:
        bench.run(exchange)
    assert bench.in_flight == 0
    return caught.value


@pytest.mark.parametrize("act", [Act.RESET, Act.CUT])
def test_unrepeatable_work_is_sent_once_and_its_outcome_is_unknown(act):
    bench = Bench(act, act, act, **ONCE)
    refusal = refused(bench, bench.exchange())
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(bench.network.received) == 1
    assert bench.observer.failures == [Failure.RESET]


def test_unrepeatable_work_that_reached_nobody_goes_to_another_upstream():
    bench = Bench(Act.REFUSE_CONNECTION, Act.ANSWER, **ONCE)
    assert bench.run(bench.exchange()).status == 200
    assert len(bench.network.received) == 1
    assert bench.in_flight == 0


def test_work_that_every_upstream_shed_is_told_not_run_and_when_to_come_back():
    bench = Bench(Act.SHED, Act.SHED, **ONCE)
    refusal = refused(bench, bench.exchange())
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is Reason.UPSTREAM_SHED
    assert refusal.retry_after > 0


def test_one_unproven_attempt_makes_the_outcome_unknown_whatever_follows():
    bench = Bench(Act.RESET, Act.SHED, Act.SHED, **AGAIN)
    assert refused(bench, bench.exchange()).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("act", [Act.RESET, Act.CUT, Act.FAIL, Act.SHED])
def test_an_idempotent_call_gets_the_other_upstreams_answer(act):
    answered = set()
    for seed in range(8):
        bench = Bench(act, Act.ANSWER, seed=seed, **AGAIN)
        answer = bench.run(bench.exchange())
        assert answer.status == 200
        assert bench.in_flight == 0
        answered.add(len(bench.network.received))
    assert answered == {1, 2}


def test_a_server_error_is_passed_on_when_no_retry_does_better():
    bench = Bench(Act.FAIL, Act.FAIL, **AGAIN)
    assert bench.run(bench.exchange()).status == 500
    assert len(bench.network.received) == 2


def test_a_request_that_crashed_two_upstreams_does_not_reach_a_third():
    bench = Bench(Act.CRASH, Act.CRASH, Act.CRASH, **AGAIN)
    blame(bench)
    assert refused(bench, bench.exchange()).outcome is Outcome.UNKNOWN
    assert len(bench.network.received) == 2


def test_a_request_whose_connections_broke_at_living_upstreams_is_not_blamed():
    bench = Bench(Act.RESET, Act.RESET, Act.RESET, **AGAIN)
    blame(bench)
    assert refused(bench, bench.exchange()).outcome is Outcome.UNKNOWN
    assert len(bench.network.received) == 3
    assert bench.services.by_name["s"].ledger.list_suspects(bench.clock.now()) == []


def test_a_server_error_of_unrepeatable_work_is_not_sent_again():
    bench = Bench(Act.FAIL, Act.ANSWER, Act.ANSWER, **ONCE)
    for _ in range(8):
        bench.network.received.clear()
        bench.run(bench.exchange())
        assert len(bench.network.received) == 1


def test_a_silent_call_is_hedged_and_the_loser_is_closed():
    bench = Bench(Act.STAY_SILENT, Act.ANSWER, **HEDGED)
    for _ in range(4):
        assert bench.run(bench.exchange()).status == 200
    silent = [c for c in bench.network.connections if c.act is Act.STAY_SILENT]
    assert silent
    assert all(connection.closed for connection in silent)
    assert bench.in_flight == 0


def test_a_hedge_that_fails_does_not_end_the_call():
    bench = Bench(Act.STAY_SILENT, Act.RESET, **HEDGED)
    refusal = refused(bench, bench.exchange(window=0.3))
    assert refusal.reason is Reason.TIMEOUT
    assert refusal.outcome is Outcome.UNKNOWN


def test_silent_unrepeatable_work_is_given_up_at_its_deadline():
    bench = Bench(Act.STAY_SILENT, Act.ANSWER, Act.STAY_SILENT, **ONCE)
    pool = bench.services.by_name["s"].pool
    pool.upstreams["u2"].drained = True
    pool._refresh(bench.clock.now())
    refusal = refused(bench, bench.exchange(window=0.05))
    assert refusal.status == 504
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(bench.network.received) == 1


def test_nothing_is_sent_after_the_deadline_of_a_call_whose_vm_was_paused():
    bench = Bench(Act.ANSWER, **ONCE)
    exchange = bench.exchange()
    exchange.deadline = bench.clock.now() - 1.0
    assert refused(bench, exchange).outcome is Outcome.NOT_RUN
    assert bench.network.received == []


def test_a_call_whose_caller_leaves_is_cancelled_at_its_upstream():
    bench = Bench(Act.STAY_SILENT, **ONCE)

    async def leave():
        task = await curio.spawn(bench.dispatch.run, bench.exchange())
        while not bench.network.received:
            await curio.sleep(0)
        await task.cancel()

    curio.run(leave)
    assert bench.network.connections[0].closed
    assert bench.in_flight == 0


def test_an_upstream_whose_answer_is_cut_off_is_still_heard_to_be_leaving():
    bench = Bench(Act.CUT_LEAVING)
    with pytest.raises(Refusal):
        bench.run(bench.exchange())
    assert bench.services.by_name["s"].pool.upstreams["u1"].draining == 7


class Once(Body):
    """A streamed body: what was read is gone."""

    def __init__(self):
        self.pieces = [b"first", b"second"]

    async def read(self):
        return self.pieces.pop(0) if self.pieces else b""


@pytest.mark.parametrize("act", [Act.SHED, Act.LOSE_FIRST_PIECE])
def test_a_streamed_body_that_was_begun_is_never_sent_again(act):
    for seed in range(4):
        bench = Bench(act, Act.ANSWER, act, seed=seed, **ONCE)
        exchange = bench.exchange()
        exchange.request.body, exchange.request.length = Once(), None
        try:
            assert bench.run(exchange).status == 200
        except Refusal as refusal:
            assert refusal.outcome is Outcome.NOT_RUN
        assert len(bench.network.bodies) == 1
