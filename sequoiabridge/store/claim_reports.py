"""Reports on claims that are not yet proven in the table: kept and tried again until they are."""

from collections import OrderedDict

import curio

from ..logs import get_log
from .base import Condition, Row, StoreErrorKind, Write
from .claim_rows import CLAIMS_TABLE, ENCODER, ClaimRow, ClaimState, decode_claim, with_outcome
from .client import CALL_TIMEOUT, StoreClient
from .rates import Priority

log = get_log("claims")

MAX_PENDING_REPORTS = 10_000
"""Reports kept; while there are so many, no new claim is made."""

MAX_PENDING_BODIES = 500
"""Reports whose answer is kept in memory for later replay; the others are done without one."""

MAX_WRITE_ATTEMPTS = 3
"""Times that one report is tried before it waits for its next turn."""


class ClaimReport:
    """The outcome to write over the row that holds `row.token`.

    `version` is the row's version as last known. An abandoned claim, whose own insert may still
    land, is written as a tombstone under the insert's own condition: of the two, one takes effect.
    """

    __slots__ = ("row_key", "row", "version")

    def __init__(self, row_key: str, row: ClaimRow, version: int):
        self.row_key = row_key
        self.row = row
        self.version = version


class ReportQueue:
    """Writes reports, and keeps the unproven ones by token for another try."""

    def __init__(self, store: StoreClient):
        self.store = store
        self.pending: OrderedDict[str, ClaimReport] = OrderedDict()
        self.proven_count = 0
        self.superseded = 0

    @property
    def is_full(self) -> bool:
        """True if no further claim may be made before some reports are proven."""
        return len(self.pending) >= MAX_PENDING_REPORTS

    def is_abandoned(self, token: str) -> bool:
        """True if nothing was sent, and nothing will be, under the claim with this token."""
        report = self.pending.get(token)
        return report is not None and report.row.state is ClaimState.RELEASED

    def enqueue(self, report: ClaimReport) -> None:
        """Keep a report for another try; of many, only the first keep their answers."""
        if len(self.pending) >= MAX_PENDING_BODIES and report.row.body is not None:
            report.row = with_outcome(report.row, report.row.state, report.row.status)
        self.pending[report.row.token] = report

    async def write(self, report: ClaimReport, priority: Priority = Priority.CLAIM) -> bool:
        """Try to write a report now; true if it is proven, else it is kept.

        As urgent as new claims are: with less, claims at the limit of the rate would starve the
        reports, and held rows would pile up.
        """
        self.enqueue(report)
        for _ in range(MAX_WRITE_ATTEMPTS):
            is_done = await self._write_once(report, priority)
            if is_done is None:
                continue
            if is_done:
                self.pending.pop(report.row.token, None)
                self.proven_count += 1
            return is_done
        return False

    async def retry_pending(self, limit: int) -> int:
        """Try up to `limit` kept reports again, oldest first; return how many are left.

        They are tried at the same time, so that they share transactions.
        """
        if self.store.is_down:
            return len(self.pending)
        batch = list(self.pending.values())[:limit]
        async with curio.TaskGroup() as group:
            for report in batch:
                await group.spawn(self.write, report, Priority.BACKGROUND)
        for report in batch:
            if report.row.token in self.pending:
                self.pending.move_to_end(report.row.token)
        return len(self.pending)

    async def _write_once(self, report: ClaimReport, priority: Priority) -> bool | None:
        """Make one try: true if settled, false if unproven, None to try at once again."""
        condition = Condition(CLAIMS_TABLE, report.row_key, report.version)
        write = Write(CLAIMS_TABLE, report.row_key, ENCODER.encode(report.row))
        result = await self.store.transact([condition], [write], CALL_TIMEOUT, priority)
        if result.is_ok():
            return True
        if result.error.kind is not StoreErrorKind.CONDITION_FAILED:
            return False
        found = await self.store.read(CLAIMS_TABLE, report.row_key, CALL_TIMEOUT, priority)
        if found.is_error():
            return False
        return self._check_row(report, found.ok)

    def _check_row(self, report: ClaimReport, found: Row | None) -> bool | None:
        if found is None:
            return self._check_missing_row(report)
        row = decode_claim(found.value)
        if row is None:
            return False
        if row.token != report.row.token or row.state is not ClaimState.HELD:
            return self._record_superseded(report, row)
        report.version = found.version
        return None

    def _check_missing_row(self, report: ClaimReport) -> bool | None:
        # Gone by age, or deleted between two steps; only an insert under version 0 can still land.
        abandoned = report.row.state is ClaimState.RELEASED and report.version == 0
        return None if abandoned else True

    def _record_superseded(self, report: ClaimReport, row: ClaimRow) -> bool:
        is_same_outcome = row.token == report.row.token and row.state is report.row.state
        if not is_same_outcome and report.row.state is not ClaimState.RELEASED:
            self.superseded += 1
            log.warning("Claim %s is no longer this VM's: %s.", report.row_key, row.state.value)
        return True
