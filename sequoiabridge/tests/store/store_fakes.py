"""What the tests of the store share: a daemon's client over the in-memory platform."""

import curio

from ...store.client import StoreClient
from ...timers import ManualClock, SystemClock
from ..standins.memory import Faults, MemoryObjects, MemoryTables


async def no_sleep(_seconds: float) -> None:
    """Let no time pass."""
    await curio.sleep(0)


class FakePlatform:
    """One platform in memory, and clients of as many VMs as a test asks for."""

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
    """Return a bench on the system's clock, for tests in which waiting itself is the point."""
    return FakePlatform(SystemClock())
