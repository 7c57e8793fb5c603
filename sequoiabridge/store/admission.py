"""Admission control for calls to the platform's store: rate limits and the circuit breaker."""

from collections.abc import Awaitable, Callable

import curio
from expression import Error, Result

from ..logs import get_log
from ..timers import Clock
from .base import StoreError, StoreErrorKind
from .breaker import CircuitBreaker
from .rates import Priority, RateShare

log = get_log("store")

MIN_FAILURE_TIMEOUT = 0.2
"""Minimum timeout, in seconds, whose expiry counts as a failure of the store."""


def store_error(kind: StoreErrorKind, message: str) -> Result:
    """Return an error result of a call to the store."""
    return Error(StoreError(kind, message))


class StoreCounts:
    """Counters of calls to the store, for metrics and the state dump.

    Attributes:
        asked: Transactions requested.
        writes: Calls sent that write a transaction group or an object.
        grouped: Transactions that were sent in a group of two or more.
        splits: Groups that failed on a condition and were split.
        reads: Calls sent that read rows or objects.
        refused: Calls not sent because the store was down.
        unanswered: Calls that counted as a failure of the store.
        rejected: Calls that the platform rejected.
        settled: Transactions whose answer was lost and whose outcome was read back.
        unsettled: Transactions whose answer was lost and whose outcome is unknown.
    """

    __slots__ = (
        "asked",
        "writes",
        "grouped",
        "splits",
        "reads",
        "refused",
        "unanswered",
        "rejected",
        "settled",
        "unsettled",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class AdmissionControl:
    """Admits calls at this daemon's share of the fleet's rates, and none while the store is down.

    Attributes:
        has_background_probe: A timer probes the store while it is down. Otherwise, one of the
            calls is admitted as the probe.
    """

    def __init__(
        self,
        clock: Clock,
        live_count: Callable[[], int],
        fleet_writes: float,
        fleet_reads: float,
        count_rows: bool = False,
    ):
        self.clock = clock
        self.live_count = live_count
        self.count_rows = count_rows
        self.writes = RateShare(fleet_writes, clock.now())
        self.reads = RateShare(fleet_reads, clock.now())
        self.breaker = CircuitBreaker()
        self.counts = StoreCounts()
        self.has_background_probe = False

    def refusal_if_down(self) -> Result | None:
        """Return an error if the store is down, otherwise None."""
        now = self.clock.now()
        if not self.breaker.is_open:
            return None
        if not self.has_background_probe and self.breaker.allow_call(now):
            return None
        self.counts.refused += 1
        wait = self.breaker.retry_after(now)
        text = f"the platform's store does not answer; it is tried again in {wait:.1f} s"
        return store_error(StoreErrorKind.NOT_SENT, text)

    async def wait_for_token(
        self, share: RateShare, priority: Priority, deadline: float, cost: int = 1
    ) -> bool:
        """Wait until `share` allows a call; return False if that would be after `deadline`."""
        while True:
            now = self.clock.now()
            wait = share.take(now, self.live_count(), priority, cost)
            if wait <= 0:
                return True
            if now + wait >= deadline:
                return False
            await curio.sleep(wait)

    async def run_call(
        self,
        share: RateShare,
        priority: Priority,
        timeout: float,
        call: Callable[[float], Awaitable[Result]],
    ) -> Result:
        """Await `call(remaining seconds)` once the breaker and the rate allow it."""
        refusal = self.refusal_if_down()
        if refusal is not None:
            return refusal
        deadline = self.clock.now() + timeout
        if not await self.wait_for_token(share, priority, deadline):
            text = "no room in this VM's share of the rate; try again later"
            return store_error(StoreErrorKind.NOT_SENT, text)
        if share is self.reads:
            self.counts.reads += 1
        else:
            self.counts.writes += 1
        remaining = deadline - self.clock.now()
        result = await call(remaining)
        self.record_result(result, share, remaining)
        return result

    def record_result(self, result: Result, share: RateShare, call_timeout: float) -> None:
        """Update the breaker and the rate with the result of a call made with `call_timeout`."""
        kind = None if result.is_ok() else result.error.kind
        if kind is StoreErrorKind.UNKNOWN and call_timeout < MIN_FAILURE_TIMEOUT:
            return
        if kind in (StoreErrorKind.UNKNOWN, StoreErrorKind.NOT_SENT):
            self._record_failure(result.error)
            return
        if self.breaker.is_open:
            log.info("Store is available again.")
        self.breaker.record_success()
        if kind is StoreErrorKind.REJECTED:
            self.counts.rejected += 1
            share.record_rejection()

    def _record_failure(self, error: StoreError) -> None:
        self.counts.unanswered += 1
        was_open = self.breaker.is_open
        self.breaker.record_failure(self.clock.now())
        if self.breaker.is_open and not was_open:
            log.warning("Store is down: %s.", error.message)
