"""Tests of calls that wait for capacity or a free connection when they are sent again."""

import pytest

from ...balancing.call import PROVEN_NOT_RUN, Ending
from ...balancing.chooser import HOLD_POLL_INTERVAL, HOLD_SHARE
from ...balancing.dispatch import MAX_ATTEMPTS, MAX_SENDS, MIN_ATTEMPT_TIME
from ...balancing.exclusion import Exclusion
from ...balancing.steps import Probe, Send
from ...exceptions import Refusal
from ...outcome import Reason
from .call_driver import FREE, FULL, CallDriver


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
