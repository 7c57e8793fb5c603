"""Tests which calls are retried or hedged, and the outcome that refusals report."""

import curio
import pytest

from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.dispatch import Dispatch
from ...pipeline.exchange import Body
from ...policy.base import Failure
from .fakes import Behaviour, DispatchScene, LedgerObserver

NOT_IDEMPOTENT = {"idempotent": "no"}
IDEMPOTENT = {"idempotent": "yes"}
HEDGED = {"idempotent": "yes", "hedge": "yes"}


def record_crashes_in_ledger(scene):
    """Record the crashes of a scene in the service's ledger, as a daemon does."""
    scene.observer = LedgerObserver(scene.services.by_name["s"].ledger, scene.clock)
    scene.dispatch = Dispatch(scene.services, scene.connector, scene.clock, scene.observer)


def get_refusal(scene, exchange):
    """Dispatch a call that must be refused; return the refusal."""
    with pytest.raises(Refusal) as caught:
        scene.run(exchange)
    assert scene.in_flight == 0
    return caught.value


@pytest.mark.parametrize("behaviour", [Behaviour.RESET, Behaviour.TRUNCATE])
def test_non_idempotent_call_is_sent_once_and_its_outcome_is_unknown(behaviour):
    scene = DispatchScene(behaviour, behaviour, behaviour, **NOT_IDEMPOTENT)
    refusal = get_refusal(scene, scene.exchange())
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 1
    assert scene.observer.failures == [Failure.RESET]


def test_non_idempotent_call_that_reached_no_upstream_is_retried():
    scene = DispatchScene(Behaviour.REFUSE_CONNECTION, Behaviour.ANSWER, **NOT_IDEMPOTENT)
    assert scene.run(scene.exchange()).status == 200
    assert len(scene.connector.received) == 1
    assert scene.in_flight == 0


def test_call_that_every_upstream_shed_is_refused_as_not_run_with_retry_after():
    scene = DispatchScene(Behaviour.SHED, Behaviour.SHED, **NOT_IDEMPOTENT)
    refusal = get_refusal(scene, scene.exchange())
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is Reason.UPSTREAM_SHED
    assert refusal.retry_after > 0


def test_one_unproven_attempt_makes_the_outcome_unknown():
    scene = DispatchScene(Behaviour.RESET, Behaviour.SHED, Behaviour.SHED, **IDEMPOTENT)
    assert get_refusal(scene, scene.exchange()).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "behaviour", [Behaviour.RESET, Behaviour.TRUNCATE, Behaviour.FAIL, Behaviour.SHED]
)
def test_idempotent_call_gets_the_other_upstreams_answer(behaviour):
    answered = set()
    for seed in range(8):
        scene = DispatchScene(behaviour, Behaviour.ANSWER, seed=seed, **IDEMPOTENT)
        answer = scene.run(scene.exchange())
        assert answer.status == 200
        assert scene.in_flight == 0
        answered.add(len(scene.connector.received))
    assert answered == {1, 2}


def test_server_error_is_returned_if_no_retry_succeeds():
    scene = DispatchScene(Behaviour.FAIL, Behaviour.FAIL, **IDEMPOTENT)
    assert scene.run(scene.exchange()).status == 500
    assert len(scene.connector.received) == 2


def test_request_that_crashed_two_upstreams_does_not_reach_a_third():
    scene = DispatchScene(Behaviour.CRASH, Behaviour.CRASH, Behaviour.CRASH, **IDEMPOTENT)
    record_crashes_in_ledger(scene)
    assert get_refusal(scene, scene.exchange()).outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 2


def test_reset_by_a_reachable_upstream_is_not_recorded_as_a_crash():
    scene = DispatchScene(Behaviour.RESET, Behaviour.RESET, Behaviour.RESET, **IDEMPOTENT)
    record_crashes_in_ledger(scene)
    assert get_refusal(scene, scene.exchange()).outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 3
    assert scene.services.by_name["s"].ledger.list_suspects(scene.clock.now()) == []


def suspected_scene(behaviour, **rule):
    """Return a scene whose call has crashed two upstreams at other VMs, and its call."""
    scene = DispatchScene(behaviour, behaviour, **rule)
    record_crashes_in_ledger(scene)
    exchange = scene.exchange()
    for upstream in ("x1", "x2"):
        scene.dispatch.recorder.observer.record_crash(exchange, upstream)
    return scene, exchange


def test_a_failure_answer_clears_no_suspect():
    scene, exchange = suspected_scene(Behaviour.FAIL, **NOT_IDEMPOTENT)
    assert scene.run(exchange).status == 500
    assert scene.services.by_name["s"].ledger.by_fingerprint


def test_a_blocked_call_is_not_hedged():
    scene, exchange = suspected_scene(Behaviour.NEVER_ANSWER, **HEDGED)
    exchange.deadline = scene.clock.now() + 0.3
    assert get_refusal(scene, exchange).reason is Reason.TIMEOUT
    assert len(scene.connector.received) == 1


def test_server_error_of_a_non_idempotent_call_is_not_retried():
    scene = DispatchScene(Behaviour.FAIL, Behaviour.ANSWER, Behaviour.ANSWER, **NOT_IDEMPOTENT)
    for _ in range(8):
        scene.connector.received.clear()
        scene.run(scene.exchange())
        assert len(scene.connector.received) == 1


def test_call_without_an_answer_is_hedged_and_the_loser_is_closed():
    scene = DispatchScene(Behaviour.NEVER_ANSWER, Behaviour.ANSWER, **HEDGED)
    for _ in range(4):
        assert scene.run(scene.exchange()).status == 200
    unanswered = [c for c in scene.connector.connections if c.behaviour is Behaviour.NEVER_ANSWER]
    assert unanswered
    assert all(connection.closed for connection in unanswered)
    assert scene.in_flight == 0


def test_failed_hedge_does_not_end_the_call():
    scene = DispatchScene(Behaviour.NEVER_ANSWER, Behaviour.RESET, **HEDGED)
    refusal = get_refusal(scene, scene.exchange(window=0.3))
    assert refusal.reason is Reason.TIMEOUT
    assert refusal.outcome is Outcome.UNKNOWN


def test_non_idempotent_call_without_an_answer_times_out_at_its_deadline():
    scene = DispatchScene(
        Behaviour.NEVER_ANSWER, Behaviour.ANSWER, Behaviour.NEVER_ANSWER, **NOT_IDEMPOTENT
    )
    pool = scene.services.by_name["s"].pool
    pool.upstreams["u2"].drained = True
    pool._refresh(scene.clock.now())
    refusal = get_refusal(scene, scene.exchange(window=0.05))
    assert refusal.status == 504
    assert refusal.outcome is Outcome.UNKNOWN
    assert len(scene.connector.received) == 1


def test_nothing_is_sent_after_the_deadline():
    scene = DispatchScene(Behaviour.ANSWER, **NOT_IDEMPOTENT)
    exchange = scene.exchange()
    exchange.deadline = scene.clock.now() - 1.0
    assert get_refusal(scene, exchange).outcome is Outcome.NOT_RUN
    assert scene.connector.received == []


def test_call_is_cancelled_at_its_upstream_when_the_caller_disconnects():
    scene = DispatchScene(Behaviour.NEVER_ANSWER, **NOT_IDEMPOTENT)

    async def leave():
        task = await curio.spawn(scene.dispatch.run, scene.exchange())
        while not scene.connector.received:
            await curio.sleep(0)
        await task.cancel()

    curio.run(leave)
    assert scene.connector.connections[0].closed
    assert scene.in_flight == 0


def test_drain_in_a_truncated_answer_is_applied():
    scene = DispatchScene(Behaviour.TRUNCATE_DRAINING)
    with pytest.raises(Refusal):
        scene.run(scene.exchange())
    assert scene.services.by_name["s"].pool.upstreams["u1"].draining == 7


class OneTimeBody(Body):
    """A streamed body that can be read once."""

    def __init__(self):
        self.pieces = [b"first", b"second"]

    async def read(self):
        return self.pieces.pop(0) if self.pieces else b""


@pytest.mark.parametrize("behaviour", [Behaviour.SHED, Behaviour.BREAK_BEFORE_SEND])
def test_call_is_not_retried_after_its_streamed_body_was_started(behaviour):
    for seed in range(4):
        scene = DispatchScene(behaviour, Behaviour.ANSWER, behaviour, seed=seed, **NOT_IDEMPOTENT)
        exchange = scene.exchange()
        exchange.request.body, exchange.request.length = OneTimeBody(), None
        try:
            assert scene.run(exchange).status == 200
        except Refusal as refusal:
            assert refusal.outcome is Outcome.NOT_RUN
        assert len(scene.connector.bodies) == 1
