"""What periodic work of a whole fleet costs the platform, in virtual time."""

from random import Random
from types import SimpleNamespace

import curio
import pytest
from expression import Ok

from ...assembly.platform import LIST_EVERY, LIST_RATE, PRUNE_EVERY, PlatformWork
from ...timers import ManualClock, Timers


class Counted:
    """Counts the calls that reach the platform."""

    def __init__(self):
        self.lists = self.prunes = 0

    async def vms(self, timeout):
        self.lists += 1
        return Ok([])

    async def prune(self):
        self.prunes += 1


def fleet_for(seconds, count):
    """Let the work of `count` VMs run; returns what they asked."""
    clock, asked, random = ManualClock(), Counted(), Random(1)
    fleet = SimpleNamespace(live_count=lambda: count, hint=lambda addresses: None)
    daemon = SimpleNamespace(clock=clock, fleet=fleet, vm_list=asked, versions=asked)
    all_work = []
    for _ in range(count):
        daemon.random, daemon.timers = Random(random.random()), Timers(clock)
        work = PlatformWork(daemon)
        work.subscribe()
        all_work.append(work)
    for _ in range(int(seconds)):
        clock.advance(1.0)
        for work in all_work:
            for call in work.timers.run_due():
                curio.run(call)
    return asked


@pytest.mark.parametrize("count", [18, 500])
def test_reads_of_the_vm_list_stay_under_a_rate_however_large_the_fleet(count):
    asked = fleet_for(100, count)
    a_second = asked.lists / 100
    assert a_second <= min(count / LIST_EVERY, LIST_RATE) * 1.3
    assert a_second >= min(count / LIST_EVERY, LIST_RATE) * 0.7


def test_old_changes_are_removed_by_about_one_vm_at_a_time():
    asked = fleet_for(20 * PRUNE_EVERY, 18)
    assert 8 <= asked.prunes <= 40
