"""The one client of the platform's store for all parts of a daemon.

It keeps to this daemon's share of the fleet's rates, groups transactions that wait at the same
time, refuses at once while the store is down, and settles lost answers by reading back.
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
"""Seconds between two looks whether the service is to be tried again."""

PROBE_TIMEOUT = 0.5
"""Seconds that such a try may take."""

CALL_TIMEOUT = 0.5
"""Seconds given to one call of several that settle a transaction."""

MAX_SENDS = 4
"""Times that a transaction is sent before its outcome is left open."""

FIRST_RESEND_DELAY = 0.02
"""Seconds before a transaction is sent again; doubles each round."""


class StoreClient(TableService, Component):
    """Tables and objects (`objects`) at this daemon's share of the fleet's rates.

    Args:
        tables: Adapter of the table service.
        objects: Adapter of the object store.
        clock: Source of time.
        live_count: Returns how many VMs share the rates now.
        fleet_writes: Writes a second for the whole fleet, 0 for no limit.
        fleet_reads: Reads a second for the whole fleet, 0 for no limit.
        grouping: Send waiting transactions as one when their rows allow.
        count_rows: The platform counts each written row, not each transaction.
        sleep: Waits the seconds between two tries of one transaction.
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
        """Try the service again from time to time while it is down, apart from callers' work."""
        self.admission.has_background_probe = True
        timers.every(PROBE_INTERVAL, "store probe", self.probe)

    async def probe(self) -> None:
        """Make one small read if the service is down and a try is due."""
        breaker = self.admission.breaker
        if not breaker.is_open or not breaker.allow_call(self.clock.now()):
            return
        result = await self.tables.read("probe", "probe", PROBE_TIMEOUT)
        self.admission.record_result(result, self.admission.reads, PROBE_TIMEOUT)

    @property
    def is_down(self) -> bool:
        """True while calls are refused because the store gave no answers."""
        return self.admission.breaker.is_open

    async def transact(
        self,
        conditions: list[Condition],
        writes: list[Write],
        timeout: float,
        priority: Priority = Priority.NORMAL,
    ) -> Result[None, StoreError]:
        """Make all writes if all conditions hold, perhaps together with other transactions."""
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
        """Make a transaction and settle a lost answer by reading back what it wrote.

        `token` is one of the writes, whose value no other attempt can have written and which
        nobody writes over while its outcome is of interest. The same transaction is sent again
        if the token is not there: its conditions let at most one copy take effect.

        `Ok` and `CONDITION_FAILED` are proven and final (as long as the rows of the conditions
        are not deleted and made anew). `UNKNOWN` is neither: a copy may still take effect. To
        rule that out, call this again with a tombstone in place of the writes under the SAME
        conditions: then at most one of the two takes effect, for ever.
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
        # A copy met a failed condition and the token is not there: no copy can take effect.
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
        """Return up to `limit` rows by key; counts as one read."""
        return await self.admission.run_call(
            self.admission.reads,
            priority,
            timeout,
            lambda remaining: self.tables.scan(table, prefix, after, limit, remaining),
        )

    def dump(self) -> dict:
        """Describe the breaker, the rates and the counters."""
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
