"""Second attempts: how many upstreams a call may be at, counting those on the way."""

from ...balancing.call import Call, CallAttempt, Ending
from ...balancing.cost_model import CostEstimate
from ...balancing.hedging import Hedging
from ...balancing.routes import Route, Target
from ...timers import ManualClock
from ..relay.fakes import upstream


def call_with(*tries):
    """Return a call of at most two attempts with attempts that are (sent, ending)."""
    call = Call(0.0)
    call.apply_route(Route("r", b"/", True, 1.0, 0.5, 2, 1, (Target("s", 1.0),)), 1.0)
    for number, (sent, ending) in enumerate(tries):
        estimate = CostEstimate(upstream(f"u{number}"), 0.1, 0.1, 0.1, 0.1, 1.0, 0, 0.0, 0.0)
        attempt = CallAttempt(estimate, 0.0)
        attempt.sent, attempt.ending = sent, ending
        call.attempts.append(attempt)
    return call


def allowed(call):
    return Hedging(None, None, ManualClock())._may_hedge(call)


def test_an_attempt_that_is_still_connecting_counts_as_one_that_may_run():
    assert allowed(call_with((True, None)))
    assert not allowed(call_with((True, None), (False, None)))
    assert not allowed(call_with((True, Ending.BROKEN), (True, None)))


def test_an_attempt_that_is_proven_not_to_have_run_leaves_room_for_another():
    assert allowed(call_with((True, None), (True, Ending.NOT_RUN)))
    assert allowed(call_with((True, None), (False, Ending.NOT_SENT)))
