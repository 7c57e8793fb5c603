"""Fakes for the tests of the store: clients of an in-memory platform."""

import curio

from ...store.client import StoreClient
from ...timers import ManualClock, SystemClock
from ..standins.memory import Faults, MemoryObjects, MemoryTables


async def no_sleep(_seconds: float) -> None:
    """Yield to other tasks without a delay."""
    await curio.sleep(0)


class FakePlatform:
    """An in-memory platform that creates the clients of any number of VMs."""

    def __init__(self, clock=None):
        self.faults = Faults()
        self.tables = MemoryTables(self.faults, no_sleep)
        self.objects = MemoryObjects(self.faults, no_sleep)
        self.clock = clock or ManualClock()

    def client(self, writes: float = 0.0, reads: float = 0.0, **options) -> StoreClient:
        options.setdefault("sleep", no_sleep)
        return StoreClient(
            self.tables, self.objects, self.clock, lambda: 1, writes, reads, **options
        )


def system_clock_platform() -> FakePlatform:
    """Return a platform on the system's clock, for tests that depend on real delays."""
    return FakePlatform(SystemClock())
