"""An upstream that drained gets work again by its own newer word, and by nothing else."""

import curio
import pytest

from ...pipeline.drain_checks import DrainChecker
from ...policy.base import Failure
from ...upstreams.probes import Probe
from .fakes import Act, Bench


class FakeProber:
    """Answers each probe with what the test says."""

    def __init__(self, incarnation, drain=None, healthy=True):
        self.answer = Probe(0.001, 100)
        self.answer.incarnation, self.answer.drain = incarnation, drain
        self.answer.healthy = healthy
        self.asked = []

    async def probe(self, address, timeout):
        self.asked.append(address)
        return self.answer


def after_a_look(prober):
    """Return whether u1, which drained as incarnation 7, is in use after one look."""
    bench = Bench(Act.ANSWER, Act.ANSWER)
    state = bench.services.by_name["s"]
    state.probe_budget.tokens = 1.0
    pool = state.pool
    pool.drain("u1", 7, bench.clock.now())
    drain_checker = DrainChecker(bench.services, prober, bench.observer, bench.clock)

    async def probe_drained():
        await drain_checker.probe_drained()
        await curio.sleep(0)

    curio.run(probe_drained)
    assert prober.asked == ["127.0.0.1:1"]
    back = pool.why_unusable(pool.upstreams["u1"], bench.clock.now()) == ""
    assert bench.observer.back == ([("u1", prober.answer.incarnation)] if back else [])
    return back


def test_a_newer_incarnation_ends_a_drain_and_is_told_to_the_fleet():
    assert after_a_look(FakeProber(8))


@pytest.mark.parametrize(
    "prober",
    [FakeProber(7), FakeProber(None), FakeProber(8, drain=8), FakeProber(8, healthy=False)],
    ids=["the same one", "no word", "leaving again", "not healthy"],
)
def test_nothing_else_ends_a_drain(prober):
    assert not after_a_look(prober)


def looked_at(prober, budget, tokens, leaving=True):
    """Return the bench after a look; u1 left, or failed a call just before."""
    bench = Bench(Act.ANSWER, Act.ANSWER)
    state = bench.services.by_name["s"]
    now = bench.clock.now()
    bench.services.record_call(state, now)
    state.probe_budget.per_call, state.probe_budget.tokens = budget, tokens
    if leaving:
        state.pool.drain("u1", 7, now)
    else:
        state.pool.record_send(state.pool.upstreams["u1"], now)
        state.pool.record_failure(state.pool.upstreams["u1"], now, Failure.RESET, 0.1)
    drain_checker = DrainChecker(bench.services, prober, bench.observer, bench.clock)

    async def probe_drained():
        await (drain_checker.probe_drained() if leaving else drain_checker.probe_failed())
        await curio.sleep(0)

    curio.run(probe_drained)
    return bench


@pytest.mark.parametrize("leaving", [True, False])
def test_where_calls_pay_for_measuring_no_question_goes_unpaid(leaving):
    prober = FakeProber(8)
    looked_at(prober, 0.1, 0.9, leaving)
    assert prober.asked == []


def test_where_nothing_may_be_spent_an_upstream_that_left_is_asked_now_and_then():
    prober = FakeProber(8)
    looked_at(prober, 0.0, 0.0)
    assert prober.asked == ["127.0.0.1:1"]


def test_an_upstream_that_loses_its_answers_is_asked_whether_it_leaves():
    prober = FakeProber(7, drain=7)
    bench = looked_at(prober, 0.1, 1.0, leaving=False)
    assert prober.asked == ["127.0.0.1:1"]
    assert bench.services.by_name["s"].pool.upstreams["u1"].draining == 7
    assert bench.observer.leaving == [("u1", 7)]
