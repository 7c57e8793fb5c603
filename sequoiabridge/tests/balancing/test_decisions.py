"""Tests of the balancing decisions: limits, statistics, cost model, candidates and splitting."""

from random import Random

import pytest

from ...balancing.candidates import MAX_LOCAL, Candidates
from ...balancing.cost_model import (
    MAX_OCCUPANCY_AGE,
    CallRequirements,
    cost_of_saturation,
    estimate_cost,
    lacks_capacity,
)
from ...balancing.probe_limiter import USED_SHARE, ProbeRateLimiter
from ...balancing.routes import Route, Target
from ...balancing.splitting import Splitter
from ...balancing.upstream_stats import OpenCall
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from ..relay.fakes import decision_log, record, upstream

CALL = CallRequirements(
    work=0.1,
    time_to_target=0.4,
    target_latency=0.4,
    transfer_cost=0.04,
    time_to_deadline=1.2,
    overload_ratio=0.0,
)


def test_the_probes_of_a_fleet_stay_within_its_rate_limit():
    fleet, sent = [ProbeRateLimiter(60.0, 0.0) for _ in range(18)], 0
    for probe_limiter in fleet:
        probe_limiter.vm_count = 18
    for step in range(3000):
        for probe_limiter in fleet:
            sent += probe_limiter.take(10, 37, step / 100)
    assert sent / 37 / 30.0 <= 60.0
    assert sent / 37 / 30.0 >= 60.0 * USED_SHARE * 0.9


def test_processes_that_start_again_do_not_have_a_full_burst_of_probes_each_time():
    sent = 0
    for step in range(3000):
        if step % 100 == 0:
            fleet = [ProbeRateLimiter(60.0, step / 100) for _ in range(18)]
        for probe_limiter in fleet:
            sent += probe_limiter.take(10, 37, step / 100)
    assert sent / 37 / 30.0 <= 60.0


def test_upstreams_that_are_slow_full_or_remote_cost_more_than_an_idle_one():
    idle, noisy = upstream("idle"), upstream("noisy", load=(0, 0, 2, 7.0))
    full, remote = upstream("full", load=(2, 2, 2, 1.0)), upstream("remote", is_local=False)
    costs = {u.id: estimate_cost(CALL, u, 0.01).cost for u in (idle, noisy, full, remote)}
    assert costs["idle"] < costs["remote"] < costs["full"] < costs["noisy"]


@pytest.mark.parametrize("sign", ["failed", "unresponsive", "unhealthy", "overdue", "slow", "sent"])
def test_each_sign_of_trouble_raises_the_cost_of_an_upstream(sign):
    good, bad = upstream("good"), upstream("bad")
    if sign == "failed":
        bad.stats.record_failure(0.0)
    elif sign == "unresponsive":
        bad.stats.record_probe_failure(0.0)
    elif sign == "unhealthy":
        bad.stats.record_probe_answer(healthy=False)
    elif sign == "overdue":
        bad.stats.add_open_call(OpenCall(-1.0, 0.1))
    elif sign == "slow":
        for _ in range(3):
            bad.stats.record_latency_ratio(5.0, 0.0)
    else:
        bad.stats.record_send()
    assert estimate_cost(CALL, bad, 0.01).cost > estimate_cost(CALL, good, 0.01).cost


def test_an_upstream_costs_more_while_it_is_slow_after_its_start():
    cold, warm = upstream("cold", cold=2.0), upstream("warm")
    assert estimate_cost(CALL, cold, 0.01).cost > estimate_cost(CALL, warm, 0.01).cost
    cold.stats.record_load_report(cold.stats.load, 2.5)
    warm.stats.record_load_report(warm.stats.load, 2.5)
    assert estimate_cost(CALL, cold, 2.51).cost == estimate_cost(CALL, warm, 2.51).cost


def test_failures_and_slow_calls_decay_so_that_a_recovered_upstream_is_used_again():
    bad = upstream("bad")
    for _ in range(5):
        bad.stats.record_failure(0.0)
        bad.stats.record_latency_ratio(10.0, 0.0)
    assert bad.stats.failure_rate(0.0) > 0.7
    assert bad.stats.failure_rate(20.0) < 0.05
    assert bad.stats.latency_ratio_at(20.0) < 1.1


def test_one_slow_call_has_little_effect_and_three_mark_an_upstream_as_slow():
    one = upstream("one")
    one.stats.record_latency_ratio(7.0, 0.0)
    assert one.stats.latency_ratio_at(0.0) < 2.0
    one.stats.record_latency_ratio(7.0, 0.0)
    one.stats.record_latency_ratio(7.0, 0.0)
    assert one.stats.latency_ratio_at(0.0) > 3.0


def test_an_unresponsive_upstream_is_probed_again_with_backoff():
    stats = upstream().stats
    stats.record_probe_failure(0.0)
    assert stats.is_unresponsive(0.1) and not stats.is_probe_due(0.1)
    assert stats.is_probe_due(0.3)
    stats.record_probe_failure(0.3)
    assert not stats.is_probe_due(0.6) and stats.is_probe_due(0.9)
    stats.record_probe_answer(True)
    assert not stats.is_unresponsive(0.9)


def test_an_upstream_is_unresponsive_while_an_open_probe_takes_too_long():
    stats = upstream().stats
    stats.record_probe_sent(1.0)
    assert not stats.is_unresponsive(1.01) and stats.is_unresponsive(1.1)


def test_a_call_is_not_sent_into_a_queue_that_would_make_it_late():
    queued, noisy = upstream(load=(2, 4, 2, 1.0)), upstream(load=(2, 0, 2, 7.0))
    free = upstream(load=(1, 0, 2, 1.0))
    assert lacks_capacity(CALL, estimate_cost(CALL, queued, 0.01))
    assert not lacks_capacity(
        CALL, estimate_cost(CALL, noisy, 0.01)
    ), "late without the queue as well"
    assert not lacks_capacity(CALL, estimate_cost(CALL, free, 0.01))
    late = CallRequirements(
        work=0.1,
        time_to_target=-0.1,
        target_latency=0.4,
        transfer_cost=0.0,
        time_to_deadline=0.7,
        overload_ratio=0.0,
    )
    assert not lacks_capacity(late, estimate_cost(late, free, 0.01))
    assert lacks_capacity(late, estimate_cost(late, upstream(load=(2, 1, 2, 1.0)), 0.01))


def late_call(overload_ratio, time_to_deadline=0.9):
    return CallRequirements(0.1, -0.1, 0.4, 0.0, time_to_deadline, overload_ratio)


def test_a_late_call_leaves_fast_upstreams_to_other_calls_under_overload():
    fast, slowed = upstream("fast"), upstream("slowed", load=(0, 0, 2, 6.0))

    def chosen(call):
        return min((estimate_cost(call, one, 0.01) for one in (fast, slowed)), key=lambda w: w.cost)

    assert chosen(late_call(overload_ratio=0.0)).upstream is fast
    assert chosen(late_call(overload_ratio=0.9)).upstream is slowed
    assert (
        chosen(late_call(overload_ratio=0.9, time_to_deadline=0.4)).upstream is fast
    ), "the slowed one would miss the deadline"


def test_a_late_call_takes_no_slot_under_overload_at_which_other_calls_would_be_in_time():
    fast, slowed = upstream("fast"), upstream("slowed", load=(0, 0, 2, 6.0))
    overloaded, calm = late_call(overload_ratio=0.9), late_call(overload_ratio=0.2)
    assert lacks_capacity(overloaded, estimate_cost(overloaded, fast, 0.01))
    assert not lacks_capacity(overloaded, estimate_cost(overloaded, slowed, 0.01))
    assert not lacks_capacity(calm, estimate_cost(calm, fast, 0.01))


def route(*weights):
    targets = tuple(Target(f"s{n}", weight) for n, weight in enumerate(weights))
    return Route("r", b"/", True, 1.0, 0.5, 2, 1, targets)


def test_shares_follow_the_weights_over_many_vms_with_few_calls_each():
    counts = {"s0": 0, "s1": 0}
    for vm in range(60):
        splitter, split = Splitter(Random(vm)), route(90, 10)
        for _ in range(20):
            counts[splitter.service_for(split)] += 1
    assert abs(counts["s1"] / 1200 - 0.1) < 0.03


def test_new_weights_apply_from_the_next_call_and_a_single_service_gets_all_calls():
    splitter = Splitter(Random(1))
    assert {splitter.service_for(route(50, 50)) for _ in range(4)} == {"s0", "s1"}
    assert {splitter.service_for(route(100, 0)) for _ in range(20)} == {"s0"}
    assert splitter.service_for(route(1)) == "s0"


def test_the_subset_of_a_large_service_is_stable_when_upstreams_join():
    log, _ = decision_log()
    known = UpstreamList("here", ManualClock(), log, lambda u: None)
    known.update([record(f"u{n}") for n in range(40)], [], 1)
    candidates = Candidates("vm-1", known)
    before = {u.id for u in candidates.for_service("s").local}
    assert len(before) == MAX_LOCAL
    assert before != {u.id for u in Candidates("vm-2", known).for_service("s").local}
    known.update([record("new")], [], 2)
    after = {u.id for u in candidates.for_service("s").local}
    assert len(before & after) >= MAX_LOCAL - 1


LAST_OF_FOUR = (3, 0, 4, 1.0)
"""Load of an upstream with one free slot of four."""


def four_slots(id, load):
    """Return an upstream with four slots and a new load report."""
    made = upstream(id, load=load)
    made.record.slots = 4
    return made


def requirements(overload_ratio, time_to_target=0.4):
    return CallRequirements(0.1, time_to_target, 0.4, 0.04, 1.2, overload_ratio)


def test_the_last_of_four_slots_is_left_free_under_overload():
    last, noisy = four_slots("last", LAST_OF_FOUR), four_slots("noisy", (1, 0, 4, 2.0))
    assert not lacks_capacity(requirements(0.1), estimate_cost(requirements(0.1), last, 0.01))
    assert lacks_capacity(requirements(0.8), estimate_cost(requirements(0.8), last, 0.01))
    assert (
        estimate_cost(requirements(0.1), noisy, 0.01).cost
        < estimate_cost(requirements(0.1), last, 0.01).cost
    )


def test_the_last_of_two_slots_is_used_under_any_overload():
    last = upstream("last", load=(1, 0, 2, 1.0))
    assert not lacks_capacity(requirements(1.0), estimate_cost(requirements(1.0), last, 0.01))


def test_a_single_slot_and_a_slot_that_is_not_the_last_have_no_saturation_cost():
    assert cost_of_saturation(1, 0, 1.0) == cost_of_saturation(4, -1, 1.0) == 0.0
    assert (
        cost_of_saturation(4, 0, 1.0)
        > cost_of_saturation(4, 0, 0.3)
        > cost_of_saturation(2, 0, 0.3)
        > 0.0
    )


def test_no_call_queues_or_takes_the_last_slot_on_an_old_load_report():
    last, free = upstream("last", load=(1, 0, 2, 1.0)), upstream("free", load=(0, 0, 2, 1.0))
    for age, overloaded in ((MAX_OCCUPANCY_AGE / 2, False), (MAX_OCCUPANCY_AGE * 2, True)):
        assert lacks_capacity(CALL, estimate_cost(CALL, last, age)) is overloaded
        assert not lacks_capacity(CALL, estimate_cost(CALL, free, age))
    unreported = upstream("unreported", load=None)
    unreported.stats.add_open_call(OpenCall(0.0, 0.1))
    assert not lacks_capacity(
        requirements(0.0, 9.0), estimate_cost(requirements(0.0, 9.0), unreported, 0.01)
    ), "no load report"
