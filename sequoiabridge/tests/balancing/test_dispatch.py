"""Tests of Dispatch.run, driven step by step with a manual clock and without a network."""

from random import Random

import pytest

from ...balancing.attempt_recorder import AttemptRecorder, UpstreamObserver
from ...balancing.call import PROVEN_NOT_RUN, Call, CallAttempt, Ending
from ...balancing.candidates import Candidates
from ...balancing.chooser import HOLD_POLL_INTERVAL, HOLD_SHARE, Chooser
from ...balancing.dispatch import MAX_ATTEMPTS, MAX_SENDS, MIN_ATTEMPT_TIME, Dispatch
from ...balancing.exclusion import Exclusion
from ...balancing.hedging import Hedging
from ...balancing.load import UpstreamLoad
from ...balancing.retry_budget import RetryBudget, RetryLimit
from ...balancing.route_stats import RouteStats
from ...balancing.routes import Route, Target
from ...balancing.send_policy import FreeConnections
from ...balancing.steps import CancelAttempt, Probe, Send, Sleep, Wait
from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from ..relay.fakes import decision_log, record

FREE, FULL = UpstreamLoad(0, 0, 2, 1.0), UpstreamLoad(2, 4, 2, 1.0)


class NullObserver(UpstreamObserver):
    """Ignores all observations."""

    def record_load_report(self, upstream, load):
        pass

    def record_failure(self, upstream):
        pass

    def record_replacement(self, upstream):
        pass


class ScriptedConnections(FreeConnections):
    """Connections to all upstreams but those in `busy` are free."""

    def __init__(self):
        self.busy = set()

    def has_free(self, upstream):
        return upstream.id not in self.busy


class CallDriver:
    """Performs the steps of one call to a service."""

    def __init__(self, upstreams=4, idempotent=True, max_attempts=2):
        self.clock = ManualClock(100.0)
        log, _ = decision_log(self.clock)
        self.known = UpstreamList("here", self.clock, log, lambda u: None)
        self.known.update([record(f"u{n}", born=1) for n in range(upstreams)], [], 1)
        route_stats = RouteStats(0.0)
        chooser = Chooser(Candidates("vm", self.known), route_stats, self.clock, Random(1))
        self.connections = chooser.policy.connections = ScriptedConnections()
        self.dispatch = Dispatch(
            chooser,
            Hedging(chooser, route_stats, self.clock),
            AttemptRecorder(route_stats, NullObserver()),
            self.clock,
            lambda service: RetryBudget(RetryLimit(0.2, 10.0, 1000), lambda now: now - 10.0),
        )
        self.call = Call(self.clock.now())
        route = Route("r", b"/", idempotent, 2.0, 0.5, max_attempts, 1, (Target("s", 1.0),))
        self.call.apply_route(route, 2.0)
        self.call.service = "s"
        self.steps = self.dispatch.run(self.call)
        self.step = next(self.steps)

    def resume(self, result=None):
        """Send the result of the current step; return the next step."""
        self.step = self.steps.send(result)
        return self.step

    def run_until(self, kind):
        """Answer steps with None until one of type `kind` is reached; waits advance the clock."""
        for _ in range(50):
            if isinstance(self.step, kind):
                return self.step
            if isinstance(self.step, Wait):
                self.clock.advance(max(0.0, self.step.until - self.clock.now()))
            elif isinstance(self.step, Sleep):
                self.clock.advance(self.step.seconds)
            self.resume()
        raise AssertionError(f"no {kind.__name__} within 50 steps")

    def report(self, load, *attempts):
        """Record a load report of all upstreams but those of the given attempts."""
        tried = {attempt.upstream.id for attempt in attempts}
        for one in self.known.by_id.values():
            if one.id not in tried:
                one.stats.record_load_report(load, self.clock.now())

    def hold(self, polls=1):
        """Hold the call until it has checked for capacity `polls` times more."""
        for _ in range(polls):
            self.clock.advance(self.run_until(Sleep).seconds)
            self.resume()

    def start(self):
        """Run until the call is sent; return the attempt."""
        attempt = CallAttempt(self.run_until(Send).estimate, self.clock.now())
        attempt.sent = True
        self.resume(attempt)
        return attempt

    def lose_connection(self):
        """Run until the call is sent; find that no connection is free; return the upstream."""
        attempt = CallAttempt(self.run_until(Send).estimate, self.clock.now())
        attempt.lacked_connection = True
        self.resume(attempt)
        self.end(attempt, Ending.NOT_SENT)
        return attempt.upstream.id

    def end(self, attempt, ending, status=0):
        """End an attempt; return the result of the call, None while it has none."""
        attempt.ending, attempt.status, attempt.ended_at = ending, status, self.clock.now()
        self.run_until(Wait)
        try:
            self.resume(attempt)
        except StopIteration as end:
            return end.value
        return None


def test_a_finished_answer_is_returned_although_the_other_attempt_fails_at_the_same_time():
    driver = CallDriver()
    first = driver.start()
    second = driver.start()
    assert driver.call.open_attempts == [first, second]
    second.ending, second.status = Ending.ANSWERED, 200
    assert driver.end(first, Ending.BROKEN) is None
    assert isinstance(
        driver.step, Wait
    ), "it waits for the second attempt, whose end it has not processed"
    assert driver.end(second, Ending.ANSWERED, 200) is second


def test_a_call_that_is_not_idempotent_is_not_retried_after_it_may_have_run():
    driver = CallDriver(idempotent=False)
    with pytest.raises(Refusal) as refused:
        driver.end(driver.start(), Ending.BROKEN)
    assert refused.value.status == 502
    driver = CallDriver(idempotent=False)
    driver.end(driver.start(), Ending.NOT_RUN)
    assert driver.start().upstream.id != driver.call.attempts[0].upstream.id


def test_an_attempt_at_a_restarted_upstream_is_cancelled():
    driver = CallDriver(upstreams=1)
    attempt = driver.start()
    driver.known.update([record("u0", born=2)], [], 2)
    assert driver.run_until(CancelAttempt).attempt is attempt
    with pytest.raises(Refusal):
        driver.end(attempt, Ending.RESTARTED)


def test_a_failure_answer_of_the_upstream_is_returned_when_no_attempt_is_left():
    driver = CallDriver(max_attempts=1)
    attempt = driver.start()
    assert driver.end(attempt, Ending.ANSWERED, 500) is attempt


@pytest.mark.parametrize("is_stop", [False, True])
def test_an_answer_that_came_before_the_end_of_the_call_is_not_replaced(is_stop):
    # The search for a hedge went on beyond the deadline, or the end of a stop, meanwhile.
    driver = CallDriver()
    first = driver.start()
    driver.run_until(Probe)
    if is_stop:
        driver.dispatch.stop_at = driver.clock.now() + 0.1
    first.ending, first.status, first.ended_at = Ending.ANSWERED, 200, driver.clock.now()
    driver.clock.advance(0.2 if is_stop else 5.0)
    assert isinstance(driver.resume(), Wait)
    assert driver.end(first, Ending.ANSWERED, 200) is first


def test_the_search_for_a_hedge_ends_when_the_answer_has_come():
    driver = CallDriver()
    first = driver.start()
    driver.run_until(Probe)
    first.ending, first.status, first.ended_at = Ending.ANSWERED, 200, driver.clock.now()
    assert isinstance(driver.resume(), Wait)


@pytest.mark.parametrize("is_stop", [False, True])
def test_a_failure_answer_of_an_upstream_is_not_replaced_by_a_later_refusal(is_stop):
    driver = CallDriver(max_attempts=2)
    failed = driver.start()
    assert driver.end(failed, Ending.ANSWERED, 500) is None
    driver.start()
    if is_stop:
        driver.dispatch.stop_at = driver.clock.now()
    with pytest.raises(StopIteration) as end:
        for _ in range(50):
            driver.clock.advance(max(0.0, driver.step.until - driver.clock.now()))
            driver.run_until(Wait)
            driver.resume()
    assert end.value.value is failed


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_call_is_not_begun_if_the_stop_would_break_it_off(idempotent):
    # It waited for an upstream until 0.65 s before the end, was sent, and broken off.
    driver = CallDriver(idempotent=idempotent)
    expected = driver.run_until(Send).estimate.expected_duration
    driver = CallDriver(idempotent=idempotent)
    driver.dispatch.stop_at = driver.clock.now() + expected
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    refusal = refused.value
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.reason is Reason.STOPPING and refusal.retry_after == 0.0


def test_a_call_that_is_not_idempotent_needs_more_time_before_a_stop():
    driver = CallDriver(idempotent=False)
    expected = driver.run_until(Send).estimate.expected_duration
    for idempotent in (True, False):
        driver = CallDriver(idempotent=idempotent)
        driver.dispatch.stop_at = driver.clock.now() + 1.6 * expected
        if idempotent:
            driver.run_until(Send)
        else:
            with pytest.raises(Refusal):
                driver.run_until(Send)


def test_a_call_whose_own_timeout_ends_before_the_stop_is_begun():
    driver = CallDriver(idempotent=False)
    driver.call.deadline = driver.clock.now() + 0.01
    driver.dispatch.stop_at = driver.call.deadline
    driver.run_until(Send)


def test_a_retry_is_not_begun_if_the_stop_would_break_it_off():
    driver = CallDriver(idempotent=False)
    attempt = driver.start()
    driver.dispatch.stop_at = driver.clock.now() + 0.001
    with pytest.raises(Refusal) as refused:
        driver.end(attempt, Ending.NOT_RUN)
        driver.run_until(Send)
    assert refused.value.reason is Reason.STOPPING and refused.value.outcome is Outcome.NOT_RUN


def test_a_hedge_is_not_begun_if_the_stop_would_break_it_off():
    driver = CallDriver()
    driver.start()
    driver.run_until(Send)
    hedged_at = driver.clock.now()
    driver = CallDriver()
    driver.start()
    driver.dispatch.stop_at = hedged_at + 0.01
    with pytest.raises(Refusal):
        driver.run_until(Send)
    assert driver.dispatch.hedges == 0


def test_no_call_is_hedged_while_hedging_is_paused():
    # It took its own delay for that of the upstream, and hedges made it later.
    driver = CallDriver()
    driver.start()
    driver.run_until(Probe)
    driver = CallDriver()
    driver.start()
    driver.dispatch.hedging_paused = True
    with pytest.raises(Refusal):
        driver.run_until(Probe)


@pytest.mark.parametrize("ending", sorted(PROVEN_NOT_RUN, key=str))
def test_a_call_that_did_not_run_is_held_for_capacity_when_it_is_sent_again(ending):
    # It was refused at once, although a new call would have waited for the other upstream.
    driver = CallDriver(upstreams=2, idempotent=False)
    first = driver.start()
    driver.report(FULL, first)
    assert driver.end(first, ending) is None
    driver.hold()
    assert driver.call.retry_tokens == 0, "no retry budget is spent while it is held"
    driver.report(FREE, first)
    second = driver.start()
    assert second.upstream is not first.upstream and driver.call.retry_tokens == 1
    assert driver.end(second, Ending.ANSWERED, 200) is second


def test_a_call_that_did_not_run_is_held_no_longer_than_a_new_one():
    driver = CallDriver(upstreams=4)
    max_hold = HOLD_SHARE * driver.call.route.target_latency
    driver.report(FULL)
    driver.hold(3)
    driver.report(FREE)
    first = driver.start()
    driver.clock.advance(0.2)
    driver.report(FULL, first)
    started = driver.clock.now()
    driver.end(first, Ending.NOT_RUN)
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    assert refused.value.reason is Reason.UPSTREAM_SHED
    held = driver.clock.now() - started
    assert 0.0 < held <= max_hold + HOLD_POLL_INTERVAL - 3 * HOLD_POLL_INTERVAL


def test_the_holds_of_a_call_together_last_no_longer_than_that_of_a_new_one():
    driver = CallDriver(upstreams=4)
    attempts, start = [], driver.clock.now()
    for _ in range(3):
        driver.report(FREE, *attempts)
        attempts.append(driver.start())
        driver.report(FULL, *attempts)
        driver.end(attempts[-1], Ending.NOT_RUN)
        driver.hold(2)
    with pytest.raises(Refusal):
        driver.run_until(Send)
    max_hold = HOLD_SHARE * driver.call.route.target_latency
    assert driver.clock.now() - start <= max_hold + HOLD_POLL_INTERVAL


def test_a_call_that_may_have_run_is_not_held_when_it_is_sent_again():
    driver = CallDriver(upstreams=2)
    first = driver.start()
    driver.report(FULL, first)
    started = driver.clock.now()
    with pytest.raises(Refusal) as refused:
        driver.end(first, Ending.BROKEN)
        driver.run_until(Send)
    assert refused.value.status == 502 and driver.clock.now() == started


def test_a_held_retry_is_refused_as_not_run_when_the_daemon_stops():
    driver = CallDriver(upstreams=2)
    first = driver.start()
    driver.report(FULL, first)
    driver.end(first, Ending.NOT_RUN)
    driver.dispatch.stop_at = driver.clock.now() + HOLD_POLL_INTERVAL
    driver.hold()
    driver.report(FREE, first)
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    assert refused.value.reason is Reason.STOPPING and refused.value.status == 503


def test_a_retry_is_not_held_up_to_its_deadline():
    driver = CallDriver(upstreams=2)
    first = driver.start()
    driver.report(FULL, first)
    driver.call.deadline = driver.clock.now() + MIN_ATTEMPT_TIME + HOLD_POLL_INTERVAL
    driver.end(first, Ending.NOT_RUN)
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    assert refused.value.reason is Reason.UPSTREAM_SHED
    assert driver.clock.now() < driver.call.deadline


def test_an_upstream_to_which_no_connection_is_free_is_passed_over():
    # It was chosen all the same; four such upstreams used up the attempts of a call.
    driver = CallDriver(upstreams=6)
    driver.connections.busy = {"u0", "u1", "u2", "u3", "u4"}
    first = driver.start()
    assert first.upstream.id == "u5"
    assert driver.call.excluded == dict.fromkeys(
        sorted(driver.connections.busy), Exclusion.NO_CONNECTION.value
    )
    with pytest.raises(Refusal):
        driver.end(first, Ending.NOT_RUN)
        driver.run_until(Send)


def test_an_upstream_that_loses_its_last_connection_during_the_health_checks_is_passed_over():
    driver = CallDriver(upstreams=2)
    assert isinstance(driver.step, Probe)
    driver.connections.busy = {"u0"}
    assert driver.start().upstream.id == "u1"


def test_a_call_is_held_until_a_connection_is_free():
    driver = CallDriver(upstreams=2)
    driver.connections.busy = {"u0", "u1"}
    driver.hold(2)
    driver.connections.busy = {"u0"}
    assert driver.start().upstream.id == "u1"


def test_a_call_is_refused_after_a_short_hold_while_no_connection_is_free():
    # Calls were refused up to seconds after their arrival.
    driver = CallDriver(upstreams=6)
    driver.connections.busy = set(driver.known.by_id)
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    assert refused.value.reason is Reason.QUEUE_FULL and not driver.call.attempts
    held = driver.clock.now() - driver.call.arrived
    assert 0.0 < held <= HOLD_SHARE * driver.call.route.target_latency + HOLD_POLL_INTERVAL


def test_a_call_of_which_one_upstream_rests_is_held_for_a_connection_to_the_other():
    driver = CallDriver(upstreams=2)
    driver.known.by_id["u0"].stats.rest.ask(3.0, driver.clock.now())
    driver.connections.busy = {"u1"}
    driver.hold(2)
    driver.connections.busy = set()
    assert driver.start().upstream.id == "u1"


def test_attempts_that_find_no_connection_do_not_use_up_those_of_the_call():
    driver = CallDriver(upstreams=8)
    for _ in range(MAX_SENDS + 1):
        driver.connections.busy.add(driver.lose_connection())
    last = driver.start()
    assert last.upstream.id not in driver.connections.busy
    assert driver.end(last, Ending.ANSWERED, 200) is last


def test_a_call_that_lost_a_connection_is_held_for_the_only_upstream():
    driver = CallDriver(upstreams=1, idempotent=False)
    driver.connections.busy.add(driver.lose_connection())
    driver.hold(2)
    driver.connections.busy.clear()
    second = driver.start()
    assert driver.end(second, Ending.ANSWERED, 200) is second
    assert not driver.call.retry_tokens


def test_a_call_that_finds_no_connection_again_and_again_ends():
    driver = CallDriver(upstreams=1)
    with pytest.raises(Refusal) as refused:
        for _ in range(MAX_ATTEMPTS + 1):
            driver.lose_connection()
    assert refused.value.status == 503 and len(driver.call.attempts) == MAX_ATTEMPTS
