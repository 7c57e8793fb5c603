"""Periodic calls to the platform, with a limited rate for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..daemon import Daemon

MIN_LIST_INTERVAL = 5.0
"""Minimum number of seconds between two reads of the platform's VM list by one VM."""

MAX_FLEET_LIST_RATE = 20.0
"""Maximum number of reads of the VM list per second by the whole fleet."""

PRUNE_INTERVAL = 60.0
"""Average number of seconds between two removals of old changes by the fleet."""

LIST_TIMEOUT = 1.0
"""Maximum number of seconds for a read of the VM list."""


class PlatformTasks:
    """Reads the VM list and removes old changes of the configuration."""

    def __init__(self, daemon: Daemon):
        self.timers = daemon.timers
        self.random = daemon.random
        self.fleet = daemon.fleet
        self.vm_list = daemon.vm_list
        self.versions = daemon.versions

    def subscribe(self) -> None:
        """Start the tasks, with a random delay so that VMs started together spread their reads."""
        self.timers.after(self.random.uniform(0.0, MIN_LIST_INTERVAL), "vm list", self.read_list)
        self.timers.every(PRUNE_INTERVAL, "old changes", self.prune)

    async def read_list(self) -> None:
        """Pass the platform's VM list to the fleet and schedule the next read."""
        interval = max(MIN_LIST_INTERVAL, self.fleet.live_count() / MAX_FLEET_LIST_RATE)
        self.timers.after(interval * self.random.uniform(0.8, 1.2), "vm list", self.read_list)
        listed = await self.vm_list.vms(LIST_TIMEOUT)
        if listed.is_ok():
            self.fleet.set_listed_addresses([vm.address for vm in listed.ok if not vm.leaving])

    async def prune(self) -> None:
        """Remove some old changes with a probability such that on average one VM does so."""
        if self.random.random() * self.fleet.live_count() < 1.0:
            await self.versions.prune()
