"""Tests of calls to upstreams that asked for rest, driven step by step without a network."""

from random import Random

import pytest

from ...balancing.call import Ending
from ...balancing.exclusion import Exclusion
from ...balancing.return_schedule import ReturnSchedule
from ...balancing.steps import BackgroundProbe, Probe, Send, Sleep, Wait
from ...exceptions import Refusal, SendWithheld
from ...outcome import Reason
from ..relay.fakes import record
from .test_dispatch import CallDriver


def resting_driver(resting, seconds=3.0, **more):
    """Return a driver of which the named upstreams have asked for rest."""
    driver = CallDriver(**more)
    for id in resting:
        driver.known.by_id[id].stats.rest.ask(seconds, driver.clock.now())
    return driver


def test_a_call_goes_to_an_upstream_that_does_not_rest():
    driver = resting_driver(["u0", "u1", "u2"])
    assert driver.run_until(Send).estimate.upstream.id == "u3"
    assert set(driver.call.excluded.values()) == {Exclusion.RESTING.value}


def test_a_call_is_refused_at_once_while_all_upstreams_rest():
    driver = resting_driver(["u0", "u1"], upstreams=2)
    driver.known.by_id["u1"].stats.rest.ask(5.0, driver.clock.now())
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    assert refused.value.reason is Reason.UPSTREAM_REST
    assert 3.0 <= refused.value.retry_after <= 4.0
    assert driver.clock.now() == driver.call.arrived


def test_refused_callers_return_after_the_rest_at_different_times():
    driver = resting_driver(["u0"], upstreams=1)
    chooser, times = driver.dispatch.chooser, []
    for _ in range(20):
        times.append(chooser.refusal_while_excluded(driver.call).retry_after)
    assert len(set(times)) == 20 and min(times) >= 3.0


@pytest.mark.parametrize(("vms", "upstreams"), [(13, 4), (13, 13), (4, 8)])
def test_callers_of_all_vms_return_after_a_rest_no_faster_than_upstreams_can_run_them(
    vms, upstreams
):
    # Each VM counted on one whole upstream: 13 of them sent 48 callers within 0.1 s.
    times, seconds, crowd = [], 3.0, 10
    for vm in range(vms):
        driver = resting_driver([f"u{n}" for n in range(upstreams)], seconds, upstreams=upstreams)
        chooser = driver.dispatch.chooser
        chooser.vm_count = vms
        chooser.returns = ReturnSchedule(Random(vm))
        known = driver.known.by_id.values()
        rate = sum(one.record.slots for one in known) / chooser.route_stats.work(driver.call)
        times += [chooser.refusal_while_excluded(driver.call).retry_after for _ in range(crowd)]
    window = 0.5
    for start in range(60):
        first = seconds + start / 10
        # All VMs may begin with a caller at the same time.
        assert sum(first <= at < first + window for at in times) <= 1.3 * rate * window + vms


def test_a_call_waits_for_a_rest_that_ends_soon():
    driver = resting_driver(["u0"], seconds=0.05, upstreams=1)
    assert driver.run_until(Sleep).seconds == pytest.approx(0.05)
    driver.clock.advance(0.05)
    assert isinstance(driver.run_until(Send), Send)


def test_a_retry_does_not_go_to_a_resting_upstream():
    driver = resting_driver(["u0"], upstreams=2)
    attempt = driver.start()
    with pytest.raises(Refusal) as refused:
        driver.end(attempt, Ending.NOT_RUN)
    assert refused.value.retry_after < 1.0, "the other upstream may be chosen again at once"


def test_a_call_that_the_last_upstream_rejects_returns_after_its_rest():
    driver = resting_driver([], upstreams=1)
    attempt = driver.start()
    attempt.upstream.stats.rest.ask(3.0, driver.clock.now())
    with pytest.raises(Refusal) as refused:
        driver.end(attempt, Ending.NOT_RUN)
    assert refused.value.reason is Reason.UPSTREAM_REST and refused.value.retry_after >= 3.0


def test_a_hedge_does_not_go_to_a_resting_upstream():
    driver = resting_driver(["u0"], upstreams=2)
    driver.start()
    for _ in range(20):
        driver.run_until(Wait)
        driver.clock.advance(0.05)
        driver.resume()
    assert len(driver.call.attempts) == 1


def test_a_call_that_was_chosen_before_the_rest_is_withheld():
    driver = resting_driver([], upstreams=2)
    estimate = driver.run_until(Send).estimate
    policy = driver.dispatch.chooser.policy
    policy.check_send(estimate.upstream, None)
    estimate.upstream.stats.rest.ask(3.0, driver.clock.now())
    with pytest.raises(SendWithheld, match="resting"):
        policy.check_send(estimate.upstream, None)


def test_a_resting_upstream_is_not_probed_by_the_choice():
    driver = resting_driver(["u0"], upstreams=2)
    steps = list(driver.dispatch.chooser.choose(driver.call))
    assert not any(isinstance(step, BackgroundProbe) for step in steps)
    probed = [u.id for step in steps if isinstance(step, Probe) for u in step.upstreams]
    assert probed == ["u1"]


def test_overlapping_rests_end_with_the_last_one():
    driver = resting_driver(["u0"], upstreams=1)
    rest = driver.known.by_id["u0"].stats.rest
    rest.ask(1.0, driver.clock.now())
    driver.clock.advance(2.0)
    rest.ask(0.0, driver.clock.now())
    assert rest.is_active(driver.clock.now())
    driver.clock.advance(1.0)
    assert not rest.is_active(driver.clock.now())


def test_a_changed_entry_keeps_a_rest_and_a_new_lifetime_ends_it():
    driver = resting_driver(["u0"], upstreams=1)
    driver.known.update([record("u0", born=1, address="elsewhere:1")], [], 2)
    policy = driver.dispatch.chooser.policy
    assert policy.exclusion(driver.known.by_id["u0"]) is Exclusion.RESTING
    driver.known.update([record("u0", born=2)], [], 3)
    assert policy.exclusion(driver.known.by_id["u0"]) is None


def test_a_call_goes_beyond_the_candidates_of_a_large_service_if_all_of_them_rest():
    # A VM uses a subset of a large service, and refused calls although others took them.
    driver = CallDriver(upstreams=30)
    chooser = driver.dispatch.chooser
    candidates = chooser.candidates.for_service("s")
    assert candidates.spare
    for one in candidates.local + candidates.remote:
        one.stats.rest.ask(3.0, driver.clock.now())
    steps = chooser.choose(driver.call)
    with pytest.raises(StopIteration) as chosen:
        while True:
            next(steps)
    assert chosen.value.value.upstream in candidates.spare
    assert chooser.refusal_while_excluded(driver.call) is None
