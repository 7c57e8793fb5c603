"""Tests that only a healthy answer of a newer incarnation ends a drain, and what probes cost."""

import curio
import pytest

from ...pipeline.drain_checks import DrainChecker
from ...policy.base import Failure
from ...upstreams.probes import ProbeResult
from .fakes import Behaviour, DispatchScene


class FakeProber:
    """Answers each probe with the same result."""

    def __init__(self, incarnation, drain=None, healthy=True):
        self.answer = ProbeResult(0.001, 100)
        self.answer.incarnation, self.answer.drain = incarnation, drain
        self.answer.healthy = healthy
        self.probed = []

    async def probe(self, address, timeout):
        self.probed.append(address)
        return self.answer


def is_back_after_probe(prober):
    """Return whether u1, drained as incarnation 7, is in use after one round of probes."""
    scene = DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER)
    state = scene.services.by_name["s"]
    state.probe_budget.tokens = 1.0
    pool = state.pool
    pool.drain("u1", 7, scene.clock.now())
    drain_checker = DrainChecker(scene.services, prober, scene.observer, scene.clock)

    async def run_round():
        await drain_checker.probe_drained()
        await curio.sleep(0)

    curio.run(run_round)
    assert prober.probed == ["127.0.0.1:1"]
    returned = pool.why_unusable(pool.upstreams["u1"], scene.clock.now()) == ""
    assert scene.observer.returned == ([("u1", prober.answer.incarnation)] if returned else [])
    return returned


def test_newer_incarnation_ends_a_drain_and_the_observer_is_notified():
    assert is_back_after_probe(FakeProber(8))


@pytest.mark.parametrize(
    "prober",
    [FakeProber(7), FakeProber(None), FakeProber(8, drain=8), FakeProber(8, healthy=False)],
    ids=["same incarnation", "no incarnation", "draining again", "unhealthy"],
)
def test_nothing_else_ends_a_drain(prober):
    assert not is_back_after_probe(prober)


def probe_once(prober, budget, tokens, drained=True):
    """Run one round of probes; u1 is drained, or has just failed a call."""
    scene = DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER)
    state = scene.services.by_name["s"]
    now = scene.clock.now()
    scene.services.record_call(state, now)
    state.probe_budget.per_call, state.probe_budget.tokens = budget, tokens
    if drained:
        state.pool.drain("u1", 7, now)
    else:
        state.pool.record_send(state.pool.upstreams["u1"], now)
        state.pool.record_failure(state.pool.upstreams["u1"], now, Failure.RESET, 0.1)
    drain_checker = DrainChecker(scene.services, prober, scene.observer, scene.clock)

    async def run_round():
        await (drain_checker.probe_drained() if drained else drain_checker.probe_failed())
        await curio.sleep(0)

    curio.run(run_round)
    return scene


@pytest.mark.parametrize("drained", [True, False])
def test_no_probe_is_sent_without_a_token_of_the_budget(drained):
    prober = FakeProber(8)
    probe_once(prober, 0.1, 0.9, drained)
    assert prober.probed == []


def test_drained_upstream_is_probed_without_a_probe_budget():
    prober = FakeProber(8)
    probe_once(prober, 0.0, 0.0)
    assert prober.probed == ["127.0.0.1:1"]


def test_upstream_that_fails_calls_is_probed_for_a_drain():
    prober = FakeProber(7, drain=7)
    scene = probe_once(prober, 0.1, 1.0, drained=False)
    assert prober.probed == ["127.0.0.1:1"]
    assert scene.services.by_name["s"].pool.upstreams["u1"].draining == 7
    assert scene.observer.drained == [("u1", 7)]
