"""Tests of calls to upstreams with limits, driven step by step without a network."""

import pytest

from ...balancing.call import Ending
from ...balancing.permits import PermitSource
from ...balancing.steps import BackgroundProbe, RequestPermit, Send, Sleep, Wait
from ...exceptions import Refusal
from ...outcome import Reason
from .test_dispatch import CallDriver


class ScriptedPermits(PermitSource):
    """Permits of which requests take `seconds` to become possible."""

    def __init__(self, seconds=0.0):
        self.seconds = seconds

    def may_request(self, upstream, priority):
        return self.seconds <= 0.0

    def wait(self, upstream, priority):
        return self.seconds

    def rate(self, service):
        return 2.0


def limited_driver(limited, permits=None, **more):
    """Return a driver of which the named upstreams have a limit."""
    driver = CallDriver(**more)
    for id in limited:
        driver.known.by_id[id].stats.request_limit.observe(1.0, 99.0)
    if permits is not None:
        driver.dispatch.chooser.policy.permits = permits
    return driver


def test_without_permits_a_call_goes_to_an_upstream_without_a_limit():
    driver = limited_driver(["u0", "u1", "u2"])
    assert driver.run_until(Send).estimate.upstream.id == "u3"


def test_a_call_is_sent_to_an_upstream_with_a_limit_once_it_has_a_permit():
    driver = limited_driver(["u0"], ScriptedPermits(), upstreams=1)
    assert driver.run_until(RequestPermit).upstream.id == "u0"
    assert isinstance(driver.resume(True), Send)
    assert driver.step.estimate.permit_at == driver.clock.now()


def test_a_call_goes_to_another_upstream_if_the_permit_is_refused():
    driver = limited_driver(["u0", "u1", "u2"], ScriptedPermits())
    refused = []
    while not isinstance(driver.step, Send):
        asked = isinstance(driver.step, RequestPermit)
        refused += [driver.step.upstream.id] if asked else []
        driver.resume(False if asked else None)
    assert driver.step.estimate.upstream.id == "u3" and len(set(refused)) == len(refused)


def test_a_call_is_refused_at_once_if_no_permit_can_be_expected_in_time():
    driver = limited_driver(["u0", "u1"], ScriptedPermits(1.0), upstreams=2)
    with pytest.raises(Refusal) as refused:
        driver.run_until(Send)
    assert refused.value.reason is Reason.UPSTREAM_LIMIT and refused.value.retry_after > 0.0
    assert driver.clock.now() == driver.call.arrived


def test_a_call_waits_for_a_permit_that_is_expected_soon():
    driver = limited_driver(["u0"], ScriptedPermits(0.02), upstreams=1)
    assert driver.run_until(Sleep).seconds == 0.02
    driver.dispatch.chooser.policy.permits.seconds = 0.0
    assert isinstance(driver.run_until(RequestPermit), RequestPermit)
    assert isinstance(driver.resume(True), Send)


def test_a_retry_needs_a_permit_as_well():
    driver = limited_driver(["u0"], upstreams=2)
    attempt = driver.start()
    assert attempt.upstream.id == "u1"
    with pytest.raises(Refusal):
        driver.end(attempt, Ending.BROKEN)


def test_a_hedge_needs_a_permit_as_well():
    driver = limited_driver(["u0"], upstreams=2)
    driver.start()
    for _ in range(20):
        driver.run_until(Wait)
        driver.clock.advance(0.05)
        driver.resume()
    assert len(driver.call.attempts) == 1


def test_a_call_that_was_not_sent_for_want_of_a_permit_is_sent_elsewhere_at_no_cost():
    driver = limited_driver([], upstreams=2, idempotent=False)
    attempt = driver.start()
    attempt.sent = False
    assert driver.end(attempt, Ending.WITHHELD) is None
    second = driver.start()
    assert second.upstream.id != attempt.upstream.id and driver.call.retry_tokens == 0
    assert attempt.upstream.stats.failure_rate(driver.clock.now()) < 0.05


def test_an_unresponsive_upstream_with_a_limit_is_probed_again():
    # It got no permit while it was unresponsive, and no probe without a permit.
    driver = limited_driver(["u0"], upstreams=2)
    driver.known.by_id["u0"].stats.record_probe_failure(driver.clock.now())
    driver.clock.advance(5.0)
    steps = driver.dispatch.chooser.choose(driver.call)
    probed = []
    for step in steps:
        probed += [step.upstream.id] if isinstance(step, BackgroundProbe) else []
    assert probed == ["u0"]
