"""An upstream that drained gets work again by its own newer word, and by nothing else."""

import curio
import pytest

from ...pipeline.drain_checks import DrainChecker
from ...policy.base import Failure
from ...upstreams.probes import Probe
from .fakes import Behaviour, DispatchScene


class FakeProber:
    """Answers each probe with what the test says."""

    def __init__(self, incarnation, drain=None, healthy=True):
        self.answer = Probe(0.001, 100)
        self.answer.incarnation, self.answer.drain = incarnation, drain
        self.answer.healthy = healthy
        self.probed = []

    async def probe(self, address, timeout):
        self.probed.append(address)
        return self.answer


def is_back_after_probe(prober):
    """Return whether u1, which drained as incarnation 7, is in use after one look."""
    scene = DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER)
    state = scene.services.by_name["s"]
    state.probe_budget.tokens = 1.0
    pool = state.pool
    pool.drain("u1", 7, scene.clock.now())
    drain_checker = DrainChecker(scene.services, prober, scene.observer, scene.clock)

    async def probe_drained():
        await drain_checker.probe_drained()
        await curio.sleep(0)

    curio.run(probe_drained)
    assert prober.probed == ["127.0.0.1:1"]
    returned = pool.why_unusable(pool.upstreams["u1"], scene.clock.now()) == ""
    assert scene.observer.returned == ([("u1", prober.answer.incarnation)] if returned else [])
    return returned


def test_a_newer_incarnation_ends_a_drain_and_is_told_to_the_fleet():
    assert is_back_after_probe(FakeProber(8))


@pytest.mark.parametrize(
    "prober",
    [FakeProber(7), FakeProber(None), FakeProber(8, drain=8), FakeProber(8, healthy=False)],
    ids=["the same one", "no word", "leaving again", "not healthy"],
)
def test_nothing_else_ends_a_drain(prober):
    assert not is_back_after_probe(prober)


def probe_once(prober, budget, tokens, drained=True):
    """Return the bench after a look; u1 left, or failed a call just before."""
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

    async def probe_drained():
        await (drain_checker.probe_drained() if drained else drain_checker.probe_failed())
        await curio.sleep(0)

    curio.run(probe_drained)
    return scene


@pytest.mark.parametrize("drained", [True, False])
def test_where_calls_pay_for_measuring_no_question_goes_unpaid(drained):
    prober = FakeProber(8)
    probe_once(prober, 0.1, 0.9, drained)
    assert prober.probed == []


def test_where_nothing_may_be_spent_an_upstream_that_left_is_asked_now_and_then():
    prober = FakeProber(8)
    probe_once(prober, 0.0, 0.0)
    assert prober.probed == ["127.0.0.1:1"]


def test_an_upstream_that_loses_its_answers_is_asked_whether_it_leaves():
    prober = FakeProber(7, drain=7)
    scene = probe_once(prober, 0.1, 1.0, drained=False)
    assert prober.probed == ["127.0.0.1:1"]
    assert scene.services.by_name["s"].pool.upstreams["u1"].draining == 7
    assert scene.observer.drained == [("u1", 7)]
