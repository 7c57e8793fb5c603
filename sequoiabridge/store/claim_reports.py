"""Writes the outcomes of claims to the table, and retries until they are proven to be there."""

from collections import OrderedDict

import curio

from ..logs import get_log
from .base import Condition, Row, StoreErrorKind, Write
from .claim_rows import CLAIMS_TABLE, ENCODER, ClaimRow, ClaimState, decode_claim, with_outcome
from .client import CALL_TIMEOUT, StoreClient
from .rates import Priority

log = get_log("claims")

MAX_PENDING_REPORTS = 10_000
"""Maximum number of pending reports. No new claims are made while the limit is reached."""

MAX_PENDING_BODIES = 500
"""Maximum number of pending reports whose answers are kept in memory for replay."""

MAX_WRITE_ATTEMPTS = 3
"""Maximum number of attempts to write a report before it waits for the next retry."""


class ClaimReport:
    """The outcome to write over the row that holds `row.token`.

    `version` is the last known version of the row. For an abandoned claim, whose insert may still
    take effect, a tombstone is written under the condition of the insert, so that at most one of
    the two takes effect.
    """

    __slots__ = ("row_key", "row", "version")

    def __init__(self, row_key: str, row: ClaimRow, version: int):
        self.row_key = row_key
        self.row = row
        self.version = version


class ReportQueue:
    """Writes reports, and keeps those that are not proven to be written for a retry.

    Attributes:
        pending: Reports by the token of their claim.
        proven_count: Number of reports that are done.
        superseded: Number of reports dropped because the row had another token or outcome.
            Releases are not counted.
    """

    def __init__(self, store: StoreClient):
        self.store = store
        self.pending: OrderedDict[str, ClaimReport] = OrderedDict()
        self.proven_count = 0
        self.superseded = 0

    @property
    def is_full(self) -> bool:
        """Whether no further claim may be made until some reports are proven."""
        return len(self.pending) >= MAX_PENDING_REPORTS

    def is_abandoned(self, token: str) -> bool:
        """Return whether a release of the claim with this token is pending.

        Its request has not run and never will.
        """
        report = self.pending.get(token)
        return report is not None and report.row.state is ClaimState.RELEASED

    def enqueue(self, report: ClaimReport) -> None:
        """Add a report to the pending ones, without its answer if there are many."""
        if len(self.pending) >= MAX_PENDING_BODIES and report.row.body is not None:
            report.row = with_outcome(report.row, report.row.state, report.row.status)
        self.pending[report.row.token] = report

    async def write(self, report: ClaimReport, priority: Priority = Priority.CLAIM) -> bool:
        """Write a report; return True if it is done. Otherwise, it stays pending.

        The default priority is that of new claims. With a lower one, claims at the limit of the
        rate would starve the reports, and held rows would accumulate.
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
        """Retry up to `limit` pending reports, oldest first; return how many are pending then.

        They are written concurrently, so that they are grouped into few transactions.
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
        """Make one attempt; return True if done, False to retry later, None to retry at once."""
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
        # The row expired or was deleted. Only an insert under version 0 can still take effect.
        abandoned = report.row.state is ClaimState.RELEASED and report.version == 0
        return None if abandoned else True

    def _record_superseded(self, report: ClaimReport, row: ClaimRow) -> bool:
        is_same_outcome = row.token == report.row.token and row.state is report.row.state
        if not is_same_outcome and report.row.state is not ClaimState.RELEASED:
            self.superseded += 1
            log.warning(
                "Claim %s is no longer held by this VM; its state is %s.",
                report.row_key,
                row.state.value,
            )
        return True
