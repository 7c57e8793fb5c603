"""Probing: the budget, the order of background probes, and probes before a choice."""

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


def test_calls_limit_the_number_of_probes():
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


def test_background_probes_go_to_suspects_before_stale_reports_and_skip_fresh_ones():
    pool, budget = make(), ProbeBudget(1000.0, 0.0)
    pool.record_send(pool.upstreams["u7"], 1.1)
    budget.record_calls(8, 1.3)
    assert budget.background_targets(pool, 1.3) == ["u7"]
    assert budget.background_targets(pool, 1.35) == []
    pool.record_answer(pool.upstreams["u7"], 1.4, 200, 0.006, LoadReport(0, 2))
    assert budget.background_targets(pool, 4.0) == ["u0"]


def test_probes_before_a_choice_need_a_high_tail_weight_and_a_short_round_trip():
    pool = make()
    low_weight, high_weight = ProbeBudget(1000.0, 0.1), ProbeBudget(1000.0, 0.9)
    pool.averages.refresh(pool.upstreams.values(), 1.0)
    for budget in (low_weight, high_weight):
        budget.record_calls(8, 1.1)
    assert low_weight.choice_targets(pool, 1.1) == []
    targets = high_weight.choice_targets(pool, 1.1, ["u0"])
    assert len(targets) == 3 and "u0" not in targets and high_weight.tokens == 5.0
    for name in targets:
        pool.record_probe(name, 1.102, 0.002, LoadReport(9, 2))
    assert pool.choose(1.102).name not in targets
    for _ in range(50):
        high_weight.record_answer(0.01, 260)
    assert high_weight.choice_targets(pool, 2.0) == []


def test_a_draining_upstream_is_not_probed():
    pool, budget = make(2), ProbeBudget(1000.0, 1.0)
    pool.drain("u0", 1, 1.1)
    budget.record_calls(8, 5.0)
    assert budget.background_targets(pool, 5.0) == ["u1"]
