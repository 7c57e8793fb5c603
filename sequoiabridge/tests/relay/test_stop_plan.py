"""Tests of the steps of a planned stop."""

import pytest

from ...balancing.call import Call
from ...exceptions import Refusal
from ...lateness import Lateness
from ...outcome import Outcome, Reason
from ...relay.stop_plan import StopPlan

BEGAN = 100.0


def make_call(deadline):
    call = Call(BEGAN)
    call.deadline = deadline
    return call


@pytest.mark.parametrize("grace", [0.5, 2.0, 3.0, 6.0, 10.0, 60.0])
def test_the_steps_are_in_order_and_fit_the_grace_period(grace):
    plan = StopPlan(BEGAN, grace, Lateness())
    steps = (BEGAN, plan.accept_until, plan.take_until, plan.answer_by, plan.exit_at, BEGAN + grace)
    assert list(steps) == sorted(set(steps))
    assert plan.take_until <= BEGAN + min(3.0, grace / 2)
    assert plan.answer_by >= BEGAN + grace * 5 / 6


def test_a_late_call_is_taken_only_if_its_own_timeout_ends_it_first():
    plan = StopPlan(BEGAN, 6.0, Lateness())
    plan.check_call(make_call(plan.answer_by + 10.0), plan.take_until)
    plan.check_call(make_call(plan.earliest_answer_by), plan.take_until + 0.5)
    with pytest.raises(Refusal) as caught:
        plan.check_call(make_call(plan.earliest_answer_by + 0.1), plan.take_until + 0.5)
    refusal = caught.value
    assert (refusal.status, refusal.outcome, refusal.retry_after) == (503, Outcome.NOT_RUN, 0.0)
    assert refusal.reason is Reason.STOPPING and plan.refused == 1


def test_a_late_daemon_takes_no_call_in_a_stop_and_answers_open_calls_earlier():
    # It was killed with calls open.
    lateness = Lateness()
    plan = StopPlan(BEGAN, 6.0, lateness)
    lateness.record(BEGAN, BEGAN + 0.2)
    plan.check_call(make_call(BEGAN + 1.0), BEGAN + 0.2)
    plan.allow_for_delay(BEGAN + 0.2)
    assert plan.answer_by == BEGAN + 5.6
    lateness.record(BEGAN + 0.1, BEGAN + 0.5)
    with pytest.raises(Refusal) as caught:
        plan.check_call(make_call(BEGAN + 1.0), BEGAN + 0.6)
    assert caught.value.reason is Reason.STOPPING and caught.value.outcome is Outcome.NOT_RUN
    plan.allow_for_delay(BEGAN + 0.6)
    assert plan.answer_by == pytest.approx(BEGAN + 5.0)
    lateness.record(BEGAN + 1.0, BEGAN + 3.0)
    plan.allow_for_delay(BEGAN + 3.0)
    plan.allow_for_delay(BEGAN + 5.0)
    assert plan.answer_by == plan.earliest_answer_by == BEGAN + 5.0
