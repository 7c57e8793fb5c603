"""Tests of the limit on concurrent attempts, including those that are still connecting."""

from ...balancing.call import Call, CallAttempt, Ending
from ...balancing.cost_model import CostEstimate
from ...balancing.hedging import Hedging
from ...balancing.routes import Route, Target
from ...timers import ManualClock
from ..relay.fakes import upstream


def call_with(*attempts):
    """Return a call with max_attempts 2 and the given attempts, each a tuple (sent, ending)."""
    call = Call(0.0)
    call.apply_route(Route("r", b"/", True, 1.0, 0.5, 2, 1, (Target("s", 1.0),)), 1.0)
    for number, (sent, ending) in enumerate(attempts):
        estimate = CostEstimate(upstream(f"u{number}"), 0.1, 0.1, 0.1, 0.1, 1.0, 0, 0.0, 0.0)
        attempt = CallAttempt(estimate, 0.0)
        attempt.sent, attempt.ending = sent, ending
        call.attempts.append(attempt)
    return call


def may_hedge(call):
    return Hedging(None, None, ManualClock())._may_hedge(call)


def test_an_attempt_that_is_still_connecting_counts_towards_the_limit():
    assert may_hedge(call_with((True, None)))
    assert not may_hedge(call_with((True, None), (False, None)))
    assert not may_hedge(call_with((True, Ending.BROKEN), (True, None)))


def test_an_attempt_that_is_proven_not_to_have_run_does_not_count():
    assert may_hedge(call_with((True, None), (True, Ending.NOT_RUN)))
    assert may_hedge(call_with((True, None), (False, Ending.NOT_SENT)))
