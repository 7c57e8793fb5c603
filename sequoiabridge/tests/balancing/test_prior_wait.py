"""Tests of the estimated prior waiting time of callers, and of the overload ratio."""

from random import Random

from ...balancing.overload import OverloadTracker
from ...balancing.prior_wait import UsualTimeout

FIRST_ATTEMPT, AFTER_CONNECTING, RETRY = 0.8, 0.793, 0.56


def learned(*timeouts):
    usual = UsualTimeout(FIRST_ATTEMPT)
    for timeout in timeouts:
        usual.prior_wait(timeout)
    return usual


def test_a_timeout_below_the_usual_one_means_that_the_caller_has_waited():
    usual = learned(*[AFTER_CONNECTING] * 50)
    assert abs(usual.prior_wait(RETRY) - 0.24) < 0.001
    assert usual.prior_wait(AFTER_CONNECTING) == usual.prior_wait(FIRST_ATTEMPT) == 0.0


def test_no_prior_wait_is_estimated_before_the_usual_timeout_is_known():
    assert UsualTimeout(FIRST_ATTEMPT).prior_wait(RETRY) == 0.0


def test_no_prior_wait_is_estimated_for_callers_with_different_timeouts():
    random, usual = Random(1), UsualTimeout(FIRST_ATTEMPT)
    waited = [usual.prior_wait(random.choice((0.8, 0.5, 0.3))) for _ in range(500)]
    assert sum(seconds > 0.0 for seconds in waited[50:]) < 25


def test_the_usual_timeout_follows_longer_timeouts_at_once_and_shorter_ones_slowly():
    usual = learned(*[FIRST_ATTEMPT] * 50)
    assert usual.prior_wait(2.0) == 0.0 and usual.seconds == 2.0
    for _ in range(300):
        usual.prior_wait(FIRST_ATTEMPT)
    assert usual.seconds == FIRST_ATTEMPT and usual.prior_wait(RETRY) > 0.2


def test_the_overload_ratio_follows_recent_new_calls():
    overload = OverloadTracker()
    assert overload.ratio("s", 0.0) == 0.0
    overload.record("s", True, 0.0)
    assert overload.ratio("s", 0.0) < 0.5, "one call has little weight"
    for number in range(40):
        overload.record("s", True, number / 40)
    assert overload.ratio("s", 1.0) > 0.8 and overload.ratio("other", 1.0) == 0.0
    for number in range(40):
        overload.record("s", False, 1.0 + number / 20)
    assert overload.ratio("s", 3.0) < 0.2
