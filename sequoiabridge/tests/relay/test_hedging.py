"""Second attempts: how many upstreams a call may be at, counting those on the way."""

from ...pipeline.exchange import Request
from ...relay.attempt import Attempt
from ...relay.call import Ending, RelayedCall
from ...relay.choice import Weighed
from ...relay.hedging import Hedging
from ...relay.routes import Route, Target
from ...relay.signals import CallTerms
from ...timers import ManualClock
from .fakes import upstream


def call_with(*attempts):
    """Return a call of at most two attempts with attempts that are (sent, ending)."""
    clock = ManualClock()
    call = RelayedCall("c1", Request(b"GET", b"/", []), CallTerms(b"c1", 1.0), 0.0)
    call.fall_under(Route("r", b"/", True, 1.0, 0.5, 2, 1, (Target("s", 1.0),)), 1)
    for number, (sent, ending) in enumerate(attempts):
        weighed = Weighed(upstream(f"u{number}"), 0.1, 0.1, 0.1, 0.1, 1.0, 0, 0.0, 0.0)
        attempt = Attempt(call, weighed, None, None, clock, None)
        attempt.sent, attempt.ending = sent, ending
        call.attempts.append(attempt)
    return call


def allowed(call):
    return Hedging(None, None, None, ManualClock())._allowed(call)


def test_an_attempt_that_is_still_connecting_counts_as_one_that_may_run():
    assert allowed(call_with((True, None)))
    assert not allowed(call_with((True, None), (False, None)))
    assert not allowed(call_with((True, Ending.BROKEN), (True, None)))


def test_an_attempt_that_is_proven_not_to_have_run_leaves_room_for_another():
    assert allowed(call_with((True, None), (True, Ending.NOT_RUN)))
    assert allowed(call_with((True, None), (False, Ending.NOT_SENT)))
