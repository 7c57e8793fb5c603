"""What is sent again and what is not, and what the caller is told: one fault at a time."""

import curio
import pytest

from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.dispatch import Dispatch
from ...pipeline.exchange import Body
from ...policy.base import Failure
from .fakes import Behaviour, DispatchScene, LedgerObserver

NON_IDEMPOTENT = {"idempotent": "no"}
IDEMPOTENT = {"idempotent": "yes"}
HEDGED = {"idempotent": "yes", "hedge": "yes"}


def record_crashes_in_ledger(scene):
    """Have the bench's crashes entered in the service's ledger, as a daemon does."""
    scene.observer = LedgerObserver(scene.services.by_name["s"].ledger, scene.clock)
    scene.dispatch = Dispatch(scene.services, scene.connector, scene.clock, scene.observer)


def refused(scene, exchange):
    """Dispatch a call that must be refused; return the refusal."""
    with pytest.raises(Refusal) as caught:
        scene.run(exchange)
    assert scene.in_flight == 0
    return caught.value


@pytest.mark.parametrize("behaviour", [Behaviour.RESET, Behaviour.CUT])
def test_unrepeatable_work_is_sent_once_and_its_outcome_is_unknown(behaviour):
    scene = DispatchScene(behaviour, behaviour, behaviour, **NON_IDEMPOTENT)
    refusal = refused(scene, scene.exchange())
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 1
    assert scene.observer.failures == [Failure.RESET]


def test_unrepeatable_work_that_reached_nobody_goes_to_another_upstream():
    scene = DispatchScene(Behaviour.REFUSE_CONNECTION, Behaviour.ANSWER, **NON_IDEMPOTENT)
    assert scene.run(scene.exchange()).status == 200
    assert len(scene.connector.received) == 1
    assert scene.in_flight == 0


def test_work_that_every_upstream_shed_is_told_not_run_and_when_to_come_back():
    scene = DispatchScene(Behaviour.SHED, Behaviour.SHED, **NON_IDEMPOTENT)
    refusal = refused(scene, scene.exchange())
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is Reason.UPSTREAM_SHED
    assert refusal.retry_after > 0


def test_one_unproven_attempt_makes_the_outcome_unknown_whatever_follows():
    scene = DispatchScene(Behaviour.RESET, Behaviour.SHED, Behaviour.SHED, **IDEMPOTENT)
    assert refused(scene, scene.exchange()).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "behaviour", [Behaviour.RESET, Behaviour.CUT, Behaviour.FAIL, Behaviour.SHED]
)
def test_an_idempotent_call_gets_the_other_upstreams_answer(behaviour):
    answered = set()
    for seed in range(8):
        scene = DispatchScene(behaviour, Behaviour.ANSWER, seed=seed, **IDEMPOTENT)
        answer = scene.run(scene.exchange())
        assert answer.status == 200
        assert scene.in_flight == 0
        answered.add(len(scene.connector.received))
    assert answered == {1, 2}


def test_a_server_error_is_passed_on_when_no_retry_does_better():
    scene = DispatchScene(Behaviour.FAIL, Behaviour.FAIL, **IDEMPOTENT)
    assert scene.run(scene.exchange()).status == 500
    assert len(scene.connector.received) == 2


def test_a_request_that_crashed_two_upstreams_does_not_reach_a_third():
    scene = DispatchScene(Behaviour.CRASH, Behaviour.CRASH, Behaviour.CRASH, **IDEMPOTENT)
    record_crashes_in_ledger(scene)
    assert refused(scene, scene.exchange()).outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 2


def test_a_request_whose_connections_broke_at_living_upstreams_is_not_blamed():
    scene = DispatchScene(Behaviour.RESET, Behaviour.RESET, Behaviour.RESET, **IDEMPOTENT)
    record_crashes_in_ledger(scene)
    assert refused(scene, scene.exchange()).outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 3
    assert scene.services.by_name["s"].ledger.list_suspects(scene.clock.now()) == []


def test_a_server_error_of_unrepeatable_work_is_not_sent_again():
    scene = DispatchScene(Behaviour.FAIL, Behaviour.ANSWER, Behaviour.ANSWER, **NON_IDEMPOTENT)
    for _ in range(8):
        scene.connector.received.clear()
        scene.run(scene.exchange())
        assert len(scene.connector.received) == 1


def test_a_silent_call_is_hedged_and_the_loser_is_closed():
    scene = DispatchScene(Behaviour.STAY_SILENT, Behaviour.ANSWER, **HEDGED)
    for _ in range(4):
        assert scene.run(scene.exchange()).status == 200
    silent = [c for c in scene.connector.connections if c.behaviour is Behaviour.STAY_SILENT]
    assert silent
    assert all(connection.closed for connection in silent)
    assert scene.in_flight == 0


def test_a_hedge_that_fails_does_not_end_the_call():
    scene = DispatchScene(Behaviour.STAY_SILENT, Behaviour.RESET, **HEDGED)
    refusal = refused(scene, scene.exchange(window=0.3))
    assert refusal.reason is Reason.TIMEOUT
    assert refusal.outcome is Outcome.UNKNOWN


def test_silent_unrepeatable_work_is_given_up_at_its_deadline():
    scene = DispatchScene(
        Behaviour.STAY_SILENT, Behaviour.ANSWER, Behaviour.STAY_SILENT, **NON_IDEMPOTENT
    )
    pool = scene.services.by_name["s"].pool
    pool.upstreams["u2"].drained = True
    pool._refresh(scene.clock.now())
    refusal = refused(scene, scene.exchange(window=0.05))
    assert refusal.status == 504
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 1


def test_nothing_is_sent_after_the_deadline_of_a_call_whose_vm_was_paused():
    scene = DispatchScene(Behaviour.ANSWER, **NON_IDEMPOTENT)
    exchange = scene.exchange()
    exchange.deadline = scene.clock.now() - 1.0
    assert refused(scene, exchange).outcome is Outcome.NOT_RUN
    assert scene.connector.received == []


def test_a_call_whose_caller_leaves_is_cancelled_at_its_upstream():
    scene = DispatchScene(Behaviour.STAY_SILENT, **NON_IDEMPOTENT)

    async def leave():
        task = await curio.spawn(scene.dispatch.run, scene.exchange())
        while not scene.connector.received:
            await curio.sleep(0)
        await task.cancel()

    curio.run(leave)
    assert scene.connector.connections[0].closed
    assert scene.in_flight == 0


def test_an_upstream_whose_answer_is_cut_off_is_still_heard_to_be_leaving():
    scene = DispatchScene(Behaviour.CUT_DRAINING)
    with pytest.raises(Refusal):
        scene.run(scene.exchange())
    assert scene.services.by_name["s"].pool.upstreams["u1"].draining == 7


class OneTimeBody(Body):
    """A streamed body: what was read is gone."""

    def __init__(self):
        self.pieces = [b"first", b"second"]

    async def read(self):
        return self.pieces.pop(0) if self.pieces else b""


@pytest.mark.parametrize("behaviour", [Behaviour.SHED, Behaviour.BREAK_BEFORE_SEND])
def test_a_streamed_body_that_was_begun_is_never_sent_again(behaviour):
    for seed in range(4):
        scene = DispatchScene(behaviour, Behaviour.ANSWER, behaviour, seed=seed, **NON_IDEMPOTENT)
        exchange = scene.exchange()
        exchange.request.body, exchange.request.length = OneTimeBody(), None
        try:
            assert scene.run(exchange).status == 200
        except Refusal as refusal:
            assert refusal.outcome is Outcome.NOT_RUN
        assert len(scene.connector.bodies) == 1
