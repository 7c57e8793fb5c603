"""How long callers have waited before, judged by the patience that they have left."""

from random import Random

from ...balancing.overload import OverloadTracker
from ...balancing.prior_wait import UsualTimeout

FIRST_TRY, ON_A_NEW_CONNECTION, COMES_BACK = 0.8, 0.793, 0.56


def learned(*timeouts):
    usual = UsualTimeout(FIRST_TRY)
    for timeout in timeouts:
        usual.prior_wait(timeout)
    return usual


def test_who_has_less_patience_than_is_usual_has_waited_for_the_rest():
    usual = learned(*[ON_A_NEW_CONNECTION] * 50)
    assert abs(usual.prior_wait(COMES_BACK) - 0.24) < 0.001
    assert usual.prior_wait(ON_A_NEW_CONNECTION) == usual.prior_wait(FIRST_TRY) == 0.0


def test_nobody_is_said_to_have_waited_before_the_usual_patience_is_known():
    assert UsualTimeout(FIRST_TRY).prior_wait(COMES_BACK) == 0.0


def test_callers_that_differ_in_patience_have_no_usual_one():
    random, usual = Random(1), UsualTimeout(FIRST_TRY)
    waited = [usual.prior_wait(random.choice((0.8, 0.5, 0.3))) for _ in range(500)]
    assert sum(seconds > 0.0 for seconds in waited[50:]) < 25


def test_a_greater_patience_becomes_the_usual_one_and_a_lesser_one_in_time():
    usual = learned(*[FIRST_TRY] * 50)
    assert usual.prior_wait(2.0) == 0.0 and usual.seconds == 2.0
    for _ in range(300):
        usual.prior_wait(FIRST_TRY)
    assert usual.seconds == FIRST_TRY and usual.prior_wait(COMES_BACK) > 0.2


def test_a_service_is_crowded_by_what_new_calls_met_lately():
    overload = OverloadTracker()
    assert overload.ratio("s", 0.0) == 0.0
    overload.record("s", True, 0.0)
    assert overload.ratio("s", 0.0) < 0.5, "one call without a place says little"
    for number in range(40):
        overload.record("s", True, number / 40)
    assert overload.ratio("s", 1.0) > 0.8 and overload.ratio("other", 1.0) == 0.0
    for number in range(40):
        overload.record("s", False, 1.0 + number / 20)
    assert overload.ratio("s", 3.0) < 0.2
