"""Rate of the periodic platform calls of a whole fleet, in virtual time."""

from random import Random
from types import SimpleNamespace

import curio
import pytest
from expression import Ok

from ...assembly.platform_tasks import (
    MAX_FLEET_LIST_RATE,
    MIN_LIST_INTERVAL,
    PRUNE_INTERVAL,
    PlatformTasks,
)
from ...timers import ManualClock, Timers


class CallCounter:
    """Counts calls to the platform."""

    def __init__(self):
        self.lists = self.prunes = 0

    async def vms(self, timeout):
        self.lists += 1
        return Ok([])

    async def prune(self):
        self.prunes += 1


def run_fleet(seconds, count):
    """Run the tasks of `count` VMs for some seconds; return the counts of their calls."""
    clock, platform_calls, random = ManualClock(), CallCounter(), Random(1)
    fleet = SimpleNamespace(live_count=lambda: count, set_listed_addresses=lambda addresses: None)
    daemon = SimpleNamespace(
        clock=clock, fleet=fleet, vm_list=platform_calls, versions=platform_calls
    )
    all_tasks = []
    for _ in range(count):
        daemon.random, daemon.timers = Random(random.random()), Timers(clock)
        tasks = PlatformTasks(daemon)
        tasks.subscribe()
        all_tasks.append(tasks)
    for _ in range(int(seconds)):
        clock.advance(1.0)
        for tasks in all_tasks:
            for call in tasks.timers.run_due():
                curio.run(call)
    return platform_calls


@pytest.mark.parametrize("count", [18, 500])
def test_rate_of_vm_list_reads_is_limited_for_the_whole_fleet(count):
    platform_calls = run_fleet(100, count)
    rate = platform_calls.lists / 100
    assert rate <= min(count / MIN_LIST_INTERVAL, MAX_FLEET_LIST_RATE) * 1.3
    assert rate >= min(count / MIN_LIST_INTERVAL, MAX_FLEET_LIST_RATE) * 0.7


def test_on_average_one_vm_removes_old_changes():
    platform_calls = run_fleet(20 * PRUNE_INTERVAL, 18)
    assert 8 <= platform_calls.prunes <= 40
