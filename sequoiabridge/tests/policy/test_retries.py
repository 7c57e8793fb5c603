"""Retry rule, retry budget of the fleet, hedging delay, and connection shares."""

from itertools import product
from types import SimpleNamespace

from ...policy.connection_shares import LiveVmCount, connection_share
from ...policy.quantiles import LatencyHistogram
from ...policy.retries import (
    MIN_FLEET_RETRIES,
    MIN_PERIOD_RETRIES,
    WINDOW_PERIODS,
    RetryBudget,
    hedge_delay,
    may_retry,
)


def test_may_retry_truth_table():
    allowed = {
        (idempotent, sent, proven)
        for idempotent, sent, proven in product((True, False), repeat=3)
        if may_retry(SimpleNamespace(idempotent=idempotent), sent, proven, 1, 1.0)
    }
    assert (False, True, False) not in allowed
    assert len(allowed) == 7
    for idempotent, sent, proven in allowed:
        assert not may_retry(SimpleNamespace(idempotent=idempotent), sent, proven, 3, 1.0)
        assert not may_retry(SimpleNamespace(idempotent=idempotent), sent, proven, 1, 0.001)


def simulate(vms, ratio, seconds, fails, share_reports=True):
    """Let each VM make 100 calls a second and retry each failure if its budget allows.

    Return the retries and successes of all VMs.
    """
    budgets = [RetryBudget(ratio) for _ in range(vms)]
    retries = successes = 0
    for step in range(int(seconds * 100)):
        now = step / 100
        for number, budget in enumerate(budgets):
            if not fails(now, number):
                budget.record_success(now)
                successes += 1
            elif budget.take(now):
                retries += 1
            if share_reports and step % 100 == 30 and (report := budget.report(now)):
                for other in budgets:
                    if other is not budget:
                        other.record_peer_counts(
                            str(number), report.period, report.retries, report.successes, now
                        )
    return retries, successes


def test_the_fleet_keeps_the_retry_ratio_through_an_outage():
    retries, successes = simulate(18, 0.1, 30, lambda now, vm: 10 <= now < 30)
    assert 0 < retries <= 0.1 * successes + MIN_FLEET_RETRIES * 3


def test_processes_that_start_again_do_not_take_themselves_for_the_only_vm():
    # Each new process had the minimum of the whole fleet until it had heard from its peers.
    retries = []
    for step in range(2000):
        now = step / 100
        if step % 200 == 0:
            budgets = [RetryBudget(0.1) for _ in range(18)]
        retries += [now for budget in budgets if budget.take(now)]
    restarts = WINDOW_PERIODS / 2
    allowed = 18 * MIN_PERIOD_RETRIES * (WINDOW_PERIODS + restarts)
    assert max(sum(start <= at < start + 10 for at in retries) for start in retries) <= allowed


def test_a_vm_with_all_the_failures_may_use_the_budget_of_its_peers():
    alone, successes = simulate(18, 0.1, 20, lambda now, vm: vm == 0, share_reports=False)
    shared, _ = simulate(18, 0.1, 20, lambda now, vm: vm == 0)
    assert shared > 5 * max(1, alone) and shared <= 0.1 * successes


def test_peer_counts_are_recorded_once_and_expire():
    budget = RetryBudget(0.1)
    for _ in range(3):
        budget.record_peer_counts("vm2", 7, 0, 1000, 8.0)
    assert budget.dump(8.5)["other VMs' successes"] == 1000
    assert sum(budget.take(9.5) for _ in range(500)) == 12
    assert budget.dump(30.0)["vms heard"] == 0
    assert sum(budget.take(30.5) for _ in range(500)) == MIN_FLEET_RETRIES


def test_the_hedging_delay_falls_with_the_tail_weight():
    latencies = LatencyHistogram()
    assert hedge_delay(latencies, 1.0) == 0.1
    for i in range(3000):
        latencies.add(0.3 if i % 20 == 0 else 0.010)
    assert 0.009 < hedge_delay(latencies, 1.0) < 0.012
    assert 0.27 < hedge_delay(latencies, 0.0) < 0.33
    for _ in range(9000):
        latencies.add(0.05)
    assert 0.045 < latencies.quantile(0.5) < 0.056


def test_connection_shares_leave_room_for_a_joining_vm():
    for connections, vms in product((220, 260), range(1, 40)):
        share = connection_share(connections, vms)
        assert share * (vms + 1) <= connections
        assert share * vms >= 0.45 * connections
    assert connection_share(220, 18) >= 9
    assert connection_share(10, 1000) == 1


def test_the_live_vm_count_rises_at_once_and_falls_after_a_delay():
    count = LiveVmCount()
    assert [count.update(n, t) for n, t in ((13, 0), (18, 1), (9, 2), (9, 30))] == [13, 18, 18, 18]
    assert count.update(9, 32.5) == 9
    assert count.update(18, 33.0) == 18
