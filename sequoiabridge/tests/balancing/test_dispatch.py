"""Tests of `Dispatch.run`, step by step and without a network."""

import pytest

from ...balancing.call import Ending
from ...balancing.steps import CancelAttempt, Wait
from ...exceptions import Refusal
from ..relay.fakes import record
from .call_driver import CallDriver


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
