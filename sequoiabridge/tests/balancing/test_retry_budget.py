"""Tests of the retry budget: the sum over a fleet stays within the fleet's limit."""

from random import Random

from ...balancing.retry_budget import RetryBudget, RetryLimit

RATIO, WINDOW, SLACK = 0.2, 10.0, 62.0
"""Limit of a fleet of 18 VMs."""


class Fleet:
    """VMs that retry as often as their budgets allow.

    Attributes:
        calls, retries: Times of all calls, and the times at which all retries arrived.
    """

    def __init__(self, vms, slack=SLACK):
        self.limit = RetryLimit(RATIO, WINDOW, slack)
        self.budgets = [RetryBudget(self.limit, lambda now: -WINDOW) for _ in range(vms)]
        self.calls = []
        self.retries = []

    def call(self, vm, now, retries=3):
        """Let a VM handle a call that fails up to `retries` times."""
        self.budgets[vm].record_call(now)
        self.calls.append(now)
        for _ in range(retries):
            if self.budgets[vm].take(now):
                self.budgets[vm].settle(1, now)
                self.retries.append(now)

    def restart(self, vm, now):
        """Restart the process of a VM."""
        self.budgets[vm] = RetryBudget(self.limit, lambda later: now)

    def worst_excess(self):
        """Return the largest number of retries in a window beyond the fleet's limit."""
        return max(
            self.count(self.retries, start)
            - RATIO * max(self.count(self.calls, start - back) for back in (0, 5, 10))
            - self.limit.slack
            for start in self.retries
        )

    def count(self, times, start):
        """Return the number of times within the window that begins at `start`."""
        return sum(start <= at < start + WINDOW for at in times)


def test_retries_of_a_fleet_stay_within_its_limit_when_load_is_uneven():
    random, now, fleet = Random(5), 0.0, Fleet(13, 56.0)
    for _ in range(6000):
        now += random.expovariate(60)
        fleet.call(min(12, int(random.expovariate(0.3))), now)
    assert fleet.worst_excess() <= 0


def test_a_vm_with_few_calls_may_send_one_retry_per_window():
    budget = RetryBudget(RetryLimit(RATIO, WINDOW, SLACK), lambda now: -WINDOW)
    budget.record_call(1.0)
    assert [budget.take(1.0 + n / 10) for n in range(3)] == [True, False, False]
    budget.settle(1, 1.0)
    assert budget.take(11.2)


def test_processes_that_start_again_do_not_have_the_allowance_of_the_ended_ones_as_well():
    # Calls of two windows, before and after the restart, paid for retries of one window.
    for restart_interval in (1.0, 2.5, 9.0, 11.0):
        fleet, restarts = Fleet(18), 0
        for step in range(45 * 130):
            now = step / 130
            if now >= 12.0 + restarts * restart_interval:
                restarts += 1
                for vm in range(18):
                    fleet.restart(vm, now)
            fleet.call(step % 18, now, retries=0 if now < 10.5 else 2)
        assert fleet.worst_excess() <= 0, restart_interval


def test_a_process_may_retry_a_few_calls_at_once_and_all_its_share_after_a_window():
    budget = RetryBudget(RetryLimit(RATIO, WINDOW, SLACK), lambda now: 100.0)
    for step in range(200):
        budget.record_call(100.0 + step / 25)
    assert sum(budget.take(108.0) for _ in range(100)) == 8
    budget.settle(8, 108.0)
    assert sum(budget.take(110.0) for _ in range(100)) == 23


def test_retries_that_a_stopped_upstream_reads_later_count_until_a_window_after_that():
    # Retries held by stopped upstreams arrived with those of the next window.
    fleet, held = Fleet(18), []
    for step in range(45 * 130):
        now, vm = step / 130, step % 18
        if now < 22.0:
            fleet.budgets[vm].record_call(now)
            fleet.calls.append(now)
            if now >= 13.0 and fleet.budgets[vm].take(now):
                held.append(vm)
            continue
        while held:
            fleet.budgets[held.pop()].settle(1, now)
            fleet.retries.append(now)
        fleet.call(vm, now, retries=2)
    assert len(fleet.retries) > 200
    assert fleet.worst_excess() <= 0
