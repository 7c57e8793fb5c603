"""Probes stay inside the budget, go to suspects first, and are withheld where cost weighs more."""

from random import Random

from ...policy.base import LoadReport
from ...policy.choosers import chooser_named
from ...policy.pool import PoolOptions, PoolState
from ...policy.probing import MAX_TOKENS, ProbeBudget
from ...policy.upstream_state import UpstreamSpec


def make(count=8):
    pool = PoolState("katalog", PoolOptions(), chooser_named("evidence"), Random(3))
    specs = [UpstreamSpec(f"u{i}", f"10.0.0.{i}:80", 2, 260, "a") for i in range(count)]
    pool.set_upstreams(specs, 0.0)
    for i, upstream in enumerate(pool.upstreams.values()):
        for _ in range(3):
            pool.record_send(upstream, 0.9)
            pool.record_answer(upstream, 1.0 + i / 1000, 200, 0.01, LoadReport(1, 2))
    return pool


def test_no_more_probes_than_calls_paid_for_and_none_without_calls():
    pool, budget = make(), ProbeBudget(50.0, 1.0)
    now, sent = 2.0, 0
    for _ in range(10_000):
        now += 0.005
        budget.record_calls(1, now)
        sent += len(budget.choice_targets(pool, now) + budget.background_targets(pool, now))
    assert 490 <= sent <= 500
    now += 3600.0
    assert sum(len(budget.background_targets(pool, now + i)) for i in range(100)) <= MAX_TOKENS
    budget.record_cost(2600, 0.002)
    assert budget.dump(now)["bytes per 1000 calls"] == 260.0


def test_in_the_background_a_suspect_comes_before_old_evidence_and_fresh_costs_nothing():
    pool, budget = make(), ProbeBudget(1000.0, 0.0)
    pool.record_send(pool.upstreams["u7"], 1.1)
    budget.record_calls(8, 1.3)
    assert budget.background_targets(pool, 1.3) == ["u7"]
    assert budget.background_targets(pool, 1.35) == []
    pool.record_answer(pool.upstreams["u7"], 1.4, 200, 0.006, LoadReport(0, 2))
    assert budget.background_targets(pool, 4.0) == ["u0"]


def test_asks_before_a_choice_only_where_the_tail_weighs_and_the_wait_is_short():
    pool = make()
    thrifty, eager = ProbeBudget(1000.0, 0.1), ProbeBudget(1000.0, 0.9)
    pool.averages.refresh(pool.upstreams.values(), 1.0)
    for budget in (thrifty, eager):
        budget.record_calls(8, 1.1)
    assert thrifty.choice_targets(pool, 1.1) == []
    asked = eager.choice_targets(pool, 1.1, ["u0"])
    assert len(asked) == 3 and "u0" not in asked and eager.tokens == 5.0
    for name in asked:
        pool.record_probe(name, 1.102, 0.002, LoadReport(9, 2))
    assert pool.choose(1.102).name not in asked
    for _ in range(50):
        eager.record_answer(0.01, 260)
    assert eager.choice_targets(pool, 2.0) == []


def test_an_upstream_that_leaves_costs_no_probe():
    pool, budget = make(2), ProbeBudget(1000.0, 1.0)
    pool.drain("u0", 1, 1.1)
    budget.record_calls(8, 5.0)
    assert budget.background_targets(pool, 5.0) == ["u1"]
