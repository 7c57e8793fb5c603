"""Bounds the memory that a process holds for all of its callers together.

Each connection reserves what it keeps of a request's body, or of an answer that its caller does
not take. If a reservation does not fit, callers that have stalled make room, the largest first. If
none has stalled, the new reservation is refused.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..timers import Clock
from .refusals import out_of_memory

STALL_SECONDS = 1.0
"""Seconds of waiting for a caller without progress after which it has stalled."""

PROGRESS_BYTES = 16 * 1024
"""Number of bytes that count as progress; a caller that sends a byte now and then makes none."""

SMALL_BYTES = 64 * 1024
"""What a caller may hold of the part of the budget that is kept for small requests."""

LARGE_SHARE = 0.75
"""Share of the budget that is open to callers that hold more than that."""

SCAN_INTERVAL = 0.1
"""Minimum seconds between two searches for stalled callers after one that found none."""


class Holder(ABC):
    """The connection of a caller for which memory is held."""

    __slots__ = ()

    @abstractmethod
    def evict(self) -> None:
        """End the wait for the caller; what is held for it is freed soon after."""


class Holding:
    """The memory held for one caller, and how long that caller has been waited for.

    Attributes:
        size: Reserved bytes.
        waited: Seconds of waiting since the last progress, without the present wait.
        wait_began: Time at which the present wait began, None while the caller is not waited for.
        moved: Bytes to and from the caller since the last progress.
    """

    __slots__ = ("budget", "holder", "size", "waited", "wait_began", "moved")

    def __init__(self, budget: MemoryBudget, holder: Holder):
        self.budget = budget
        self.holder: Holder | None = holder
        self.size = 0
        self.waited = 0.0
        self.wait_began: float | None = None
        self.moved = 0

    def reserve(self, size: int) -> None:
        """Reserve `size` more bytes.

        Raises:
            Refusal: They do not fit into the budget.
        """
        self.budget.reserve(self, size)

    def release(self, size: int | None = None) -> None:
        """Release `size` bytes, or all."""
        self.budget.release(self, self.size if size is None else min(size, self.size))

    def end(self) -> None:
        """Release all for good, since the connection is closed."""
        self.release()
        self.holder = None

    def begin_wait(self) -> None:
        """Record that the caller is waited for from now on."""
        if self.wait_began is None:
            self.wait_began = self.budget.clock.now()

    def end_wait(self, size: int) -> None:
        """Record that the caller has sent or taken `size` bytes."""
        if self.wait_began is not None:
            self.waited += self.budget.clock.now() - self.wait_began
            self.wait_began = None
        self.moved += size
        if self.moved >= PROGRESS_BYTES:
            self.restart()

    def restart(self) -> None:
        """Record progress: the caller has sent or taken a whole message, or a good part of it."""
        self.waited, self.wait_began, self.moved = 0.0, None, 0

    def stalled_seconds(self) -> float:
        """Return the seconds of waiting since the last progress, 0 if the caller is not awaited."""
        if self.wait_began is None:
            return 0.0
        return self.waited + self.budget.clock.now() - self.wait_began


class MemoryBudget:
    """The memory for all callers of a process.

    Args:
        limit: Maximum number of bytes.
        clock: Source of time.

    Attributes:
        held: Bytes reserved at present.
        holdings: Callers that hold any.
        refused: Number of reservations that were refused.
        evicted: Number of stalled callers that had to make room.
    """

    def __init__(self, limit: float, clock: Clock):
        self.limit = limit
        self.clock = clock
        self.held = 0
        self.holdings: set[Holding] = set()
        self.refused = 0
        self.evicted = 0
        self.next_scan = 0.0

    def reserve(self, holding: Holding, size: int) -> None:
        """Reserve bytes for a caller; see `Holding.reserve`."""
        if not self._fits(holding, size):
            self._make_room(holding, size)
        if not self._fits(holding, size):
            self.refused += 1
            raise out_of_memory()
        self.held += size
        holding.size += size
        self.holdings.add(holding)

    def release(self, holding: Holding, size: int) -> None:
        """Release bytes of a caller."""
        self.held -= size
        holding.size -= size
        if not holding.size:
            self.holdings.discard(holding)

    def dump(self) -> dict:
        """Return the state for the state dump."""
        return {
            "limit": self.limit,
            "held": self.held,
            "holders": len(self.holdings),
            "refused": self.refused,
            "evicted": self.evicted,
        }

    def _fits(self, holding: Holding, size: int) -> bool:
        share = 1.0 if holding.size + size <= SMALL_BYTES else LARGE_SHARE
        return self.held + size <= share * self.limit

    def _make_room(self, holding: Holding, size: int) -> None:
        """Evict stalled callers, the largest first, until `size` bytes fit."""
        now = self.clock.now()
        if now < self.next_scan:
            return
        stalled = [
            one
            for one in self.holdings
            if one is not holding and one.stalled_seconds() >= STALL_SECONDS
        ]
        if not stalled:
            self.next_scan = now + SCAN_INTERVAL
        for victim in sorted(stalled, key=lambda one: one.size, reverse=True):
            if self._fits(holding, size):
                return
            self.evicted += 1
            victim.release()
            victim.holder.evict()
