"""Client of the platform's store, shared by all components of a daemon.

It keeps to this daemon's share of the fleet's rates, groups transactions, fails at once while the
store is down, and reads rows back to determine the outcome of a write whose answer was lost.
"""

from collections.abc import Awaitable, Callable

import curio
from expression import Ok, Result

from ..component import Component
from ..timers import Clock, Timers
from .admission import AdmissionControl, store_error
from .base import (
    Condition,
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Write,
)
from .committer import Committer
from .rate_limited_objects import RateLimitedObjects
from .rates import Priority

PROBE_INTERVAL = 0.25
"""Seconds between two checks whether a probe of the store is due."""

PROBE_TIMEOUT = 0.5
"""Timeout of a probe, in seconds."""

CALL_TIMEOUT = 0.5
"""Timeout of a single call, in seconds, where an operation may need several calls."""

MAX_SENDS = 4
"""Maximum number of times that a transaction is sent until its outcome is known."""

FIRST_RESEND_DELAY = 0.02
"""Seconds before a transaction is sent a second time. The delay doubles each time."""


class StoreClient(TableService, Component):
    """Access to tables and objects (`objects`) at this daemon's share of the fleet's rates.

    Args:
        tables: Adapter of the table service.
        objects: Adapter of the object store.
        clock: Source of time.
        live_count: Returns the number of VMs that share the rates now.
        fleet_writes: Writes per second allowed for the whole fleet; 0 for no limit.
        fleet_reads: Reads per second allowed for the whole fleet; 0 for no limit.
        grouping: Send queued transactions in groups where their rows allow it.
        count_rows: Each written row counts against the rate, not each transaction.
        sleep: Waits the given seconds before a transaction is sent again.
    """

    name = "store"

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        live_count: Callable[[], int],
        fleet_writes: float,
        fleet_reads: float,
        *,
        grouping: bool = True,
        count_rows: bool = False,
        sleep: Callable[[float], Awaitable[None]] = curio.sleep,
    ):
        self.tables = tables
        self.clock = clock
        self.sleep = sleep
        self.admission = AdmissionControl(clock, live_count, fleet_writes, fleet_reads, count_rows)
        self.committer = Committer(self.admission, tables, grouping)
        self.objects = RateLimitedObjects(self.admission, objects)
        self.counts = self.admission.counts

    def subscribe(self, timers: Timers) -> None:
        """Probe the store on a timer while it is down, so that no caller's request has to."""
        self.admission.has_background_probe = True
        timers.every(PROBE_INTERVAL, "store probe", self.probe)

    async def probe(self) -> None:
        """Read one row if the store is down and a probe is due."""
        breaker = self.admission.breaker
        if not breaker.is_open or not breaker.allow_call(self.clock.now()):
            return
        result = await self.tables.read("probe", "probe", PROBE_TIMEOUT)
        self.admission.record_result(result, self.admission.reads, PROBE_TIMEOUT)

    @property
    def is_down(self) -> bool:
        """Whether calls are refused because the store does not answer."""
        return self.admission.breaker.is_open

    async def transact(
        self,
        conditions: list[Condition],
        writes: list[Write],
        timeout: float,
        priority: Priority = Priority.NORMAL,
    ) -> Result[None, StoreError]:
        """Make all writes if all conditions hold, otherwise none; may be sent in a group."""
        refusal = self.admission.refusal_if_down()
        if refusal is not None:
            return refusal
        return await self.committer.transact(conditions, writes, timeout, priority)

    async def transact_verified(
        self,
        conditions: list[Condition],
        writes: list[Write],
        token: Write,
        deadline: float,
        priority: Priority = Priority.NORMAL,
    ) -> Result[None, StoreError]:
        """Make a transaction; if the answer is lost, read back whether it took effect.

        `token` is one of the writes. Its value must be unique to this transaction, and its row
        must not be overwritten before the outcome is known. If the row does not hold the value, the
        same transaction is sent again. Its conditions let at most one copy take effect.

        `Ok` and `CONDITION_FAILED` are proven and final, unless rows of the conditions are deleted
        and created again. With `UNKNOWN`, a copy may still take effect. To rule that out, call this
        again with a tombstone as the write and the same conditions: at most one of the two
        transactions ever takes effect.
        """
        sent = False
        for round_number in range(MAX_SENDS):
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                break
            result = await self.transact(conditions, writes, min(remaining, CALL_TIMEOUT), priority)
            if result.is_ok():
                return result
            sent = sent or result.error.kind is StoreErrorKind.UNKNOWN
            if not sent:
                return result
            verified = await self._read_back(token, result, deadline, priority)
            if verified is not None:
                self.counts.settled += 1
                return verified
            if self.is_down:
                break
            await self.sleep(FIRST_RESEND_DELAY * 2**round_number)
        return self._unresolved_error(sent)

    def _unresolved_error(self, sent: bool) -> Result:
        if not sent:
            return store_error(StoreErrorKind.NOT_SENT, "no time left; try again later")
        self.counts.unsettled += 1
        text = "the outcome of a write is not known yet; read its token later"
        return store_error(StoreErrorKind.UNKNOWN, text)

    async def _read_back(
        self, token: Write, result: Result, deadline: float, priority: Priority
    ) -> Result | None:
        remaining = min(CALL_TIMEOUT, deadline - self.clock.now())
        if remaining <= 0:
            return None
        found = await self.read(token.table, token.key, remaining, priority)
        if found.is_error():
            return None
        if found.ok is not None and found.ok.value == token.value:
            return Ok(None)
        # A condition failed and the token was not written, so no copy can take effect any more.
        return result if result.error.kind is StoreErrorKind.CONDITION_FAILED else None

    async def read(
        self, table: str, key: str, timeout: float, priority: Priority = Priority.NORMAL
    ) -> Result[Row | None, StoreError]:
        """Return the row as last committed, or None if there is none."""
        return await self.admission.run_call(
            self.admission.reads,
            priority,
            timeout,
            lambda remaining: self.tables.read(table, key, remaining),
        )

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout: float,
        priority: Priority = Priority.NORMAL,
    ) -> Result[list[Row], StoreError]:
        """Return up to `limit` rows whose key starts with `prefix` and sorts after `after`.

        This counts as one read.
        """
        return await self.admission.run_call(
            self.admission.reads,
            priority,
            timeout,
            lambda remaining: self.tables.scan(table, prefix, after, limit, remaining),
        )

    def dump(self) -> dict:
        """Return the state of the breaker, the rates and the counters."""
        admission = self.admission
        counts = {name: getattr(self.counts, name) for name in self.counts.__slots__}
        return {
            "down": admission.breaker.is_open,
            "outages": admission.breaker.outage_count,
            "waiting": len(self.committer.queue),
            "write_tokens": round(admission.writes.tokens, 1),
            "read_tokens": round(admission.reads.tokens, 1),
            "share_scale": round(admission.writes.scale, 2),
            "live_vms": admission.live_count(),
            **counts,
        }
