"""Tests of what ends a call: an answer that has come, its deadline, or a planned stop."""

import pytest

from ...balancing.call import Ending
from ...balancing.steps import Probe, Send, Wait
from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from .call_driver import CallDriver


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
