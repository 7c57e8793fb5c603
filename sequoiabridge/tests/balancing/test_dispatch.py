"""The way of a call as steps, taken by hand: no network, no time but the test's own."""

from random import Random

import pytest

from ...balancing.attempt_recorder import AttemptRecorder, UpstreamObserver
from ...balancing.call import Call, CallAttempt, Ending
from ...balancing.candidates import Candidates
from ...balancing.chooser import Chooser
from ...balancing.dispatch import Dispatch
from ...balancing.hedging import Hedging
from ...balancing.retry_budget import RetryBudget
from ...balancing.route_stats import RouteStats
from ...balancing.routes import Route, Target
from ...balancing.steps import CancelAttempt, Send, Wait
from ...exceptions import Refusal
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from ..relay.fakes import decision_log, record


class Deaf(UpstreamObserver):
    """Passes nothing on."""

    def record_load_report(self, upstream, load):
        pass

    def record_failure(self, upstream):
        pass

    def record_replacement(self, upstream):
        pass


class Walk:
    """One call's way over some upstreams of one service."""

    def __init__(self, upstreams=4, idempotent=True, max_attempts=2):
        self.clock = ManualClock(100.0)
        log, _ = decision_log(self.clock)
        self.known = UpstreamList("here", self.clock, log, lambda u: None)
        self.known.update([record(f"u{n}", born=1) for n in range(upstreams)], [], 1)
        route_stats = RouteStats(0.0)
        chooser = Chooser(Candidates("vm", self.known), route_stats, self.clock, Random(1))
        self.dispatch = Dispatch(
            chooser,
            Hedging(chooser, route_stats, self.clock),
            AttemptRecorder(route_stats, Deaf()),
            self.clock,
            lambda: RetryBudget(0.2, 10.0, 1000),
        )
        self.call = Call(self.clock.now())
        route = Route("r", b"/", idempotent, 2.0, 0.5, max_attempts, 1, (Target("s", 1.0),))
        self.call.apply_route(route, 2.0)
        self.call.service = "s"
        self.way = self.dispatch.run(self.call)
        self.step = next(self.way)

    def go_on(self, found=None):
        """Send what came of the step, and pass over steps that only ask."""
        self.step = self.way.send(found)
        return self.step

    def until(self, kind):
        """Answer steps with nothing until one of a kind comes; waiting takes its time."""
        for _ in range(50):
            if isinstance(self.step, kind):
                return self.step
            if isinstance(self.step, Wait):
                self.clock.advance(max(0.0, self.step.until - self.clock.now()))
            self.go_on()
        raise AssertionError(f"no {kind.__name__} within 50 steps")

    def start(self):
        """Let the call be sent; return the attempt."""
        attempt = CallAttempt(self.until(Send).estimate, self.clock.now())
        attempt.sent = True
        self.go_on(attempt)
        return attempt

    def end(self, attempt, ending, status=0):
        """Let an attempt end and tell the way so; return its result once it has one."""
        attempt.ending, attempt.status, attempt.ended_at = ending, status, self.clock.now()
        self.until(Wait)
        try:
            self.go_on(attempt)
        except StopIteration as end:
            return end.value
        return None


def test_an_answer_that_is_ready_is_delivered_though_the_other_attempt_failed_at_that_moment():
    walk = Walk()
    first = walk.start()
    second = walk.start()
    assert walk.call.open_attempts == [first, second]
    second.ending, second.status = Ending.ANSWERED, 200
    assert walk.end(first, Ending.BROKEN) is None
    assert isinstance(walk.step, Wait), "it waits for the one that is open in its eyes"
    assert walk.end(second, Ending.ANSWERED, 200) is second


def test_a_call_that_may_run_once_and_may_have_run_is_not_sent_again():
    walk = Walk(idempotent=False)
    with pytest.raises(Refusal) as refused:
        walk.end(walk.start(), Ending.BROKEN)
    assert refused.value.status == 502
    walk = Walk(idempotent=False)
    walk.end(walk.start(), Ending.NOT_RUN)
    assert walk.start().upstream.id != walk.call.attempts[0].upstream.id


def test_an_attempt_whose_upstream_started_again_is_given_up():
    walk = Walk(upstreams=1)
    attempt = walk.start()
    walk.known.update([record("u0", born=2)], [], 2)
    assert walk.until(CancelAttempt).attempt is attempt
    with pytest.raises(Refusal):
        walk.end(attempt, Ending.RESTARTED)


def test_the_least_bad_failure_of_an_upstream_is_the_answer_when_nothing_is_left():
    walk = Walk(max_attempts=1)
    attempt = walk.start()
    assert walk.end(attempt, Ending.ANSWERED, 500) is attempt
