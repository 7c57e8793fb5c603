"""Claims of requests that run at most once: a claim is committed before the request is sent.

A held claim is never taken over after a timeout, since its holder may be paused and send the
request later. A request whose claim is not confirmed by the deadline is not sent, and its row is
released later.
"""

import curio
from expression import Result

from ..component import Component
from ..timers import Clock, Timers
from .base import Condition, Row, StoreErrorKind, Write
from .claim_reports import ClaimReport, ReportQueue
from .claim_results import (
    ClaimBusy,
    ClaimGranted,
    ClaimMismatch,
    ClaimReplay,
    ClaimResult,
    ClaimUnavailable,
    ClaimUnknown,
)
from .claim_rows import (
    CLAIMS_TABLE,
    ENCODER,
    ClaimRow,
    ClaimState,
    KeyStatus,
    claim_key,
    decode_claim,
    key_status,
    new_token,
    with_outcome,
)
from .client import CALL_TIMEOUT, StoreClient
from .rates import Priority

MAX_CLAIM_ATTEMPTS = 4
"""Maximum number of attempts to claim a row that others change at the same time."""

REPORT_RETRY_INTERVAL = 1.0
"""Seconds between two retries of pending reports."""

REPORT_RETRY_BATCH = 50
"""Maximum number of reports that one retry writes."""


class ClaimCounts:
    """Counters of the results of claims, for metrics and the state dump."""

    __slots__ = (
        "granted",
        "replayed",
        "busy",
        "unknown",
        "mismatched",
        "unavailable",
        "abandoned",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class Claims(Component):
    """Claims of this VM.

    Attributes:
        vm_name: Stored in the rows for operators. Ownership is decided by tokens alone.
        held: Granted claims whose outcome is not reported yet, by token.
    """

    name = "claims"

    def __init__(self, store: StoreClient, clock: Clock, vm_name: str):
        self.store = store
        self.clock = clock
        self.vm_name = vm_name
        self.reports = ReportQueue(store)
        self.counts = ClaimCounts()
        self.held: dict[str, ClaimGranted] = {}

    def subscribe(self, timers: Timers) -> None:
        """Retry pending reports periodically."""
        timers.every(REPORT_RETRY_INTERVAL, "claims settle", self.retry_reports)

    async def acquire(
        self, service: str, caller: str, key: str, body_digest: str, deadline: float
    ) -> ClaimResult:
        """Claim the request with `key` of a caller to a service.

        `deadline` is on the monotonic clock. The result is `ClaimUnavailable` if the claim is not
        confirmed by then. The holder of a granted claim sends nothing after the deadline.
        """
        now, wall = self.clock.now(), self.clock.wall()
        if self.reports.is_full:
            return self._unavailable("too many claims wait for the store; try again later")
        row = ClaimRow(
            state=ClaimState.HELD,
            token=new_token(),
            vm=self.vm_name,
            service=service,
            caller=caller,
            key=key,
            digest=body_digest,
            at=wall,
            until=wall + max(0.0, deadline - now),
        )
        return await self._claim(claim_key(service, caller, key), row, deadline)

    async def complete(
        self,
        claim: ClaimGranted,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes | None,
    ) -> bool:
        """Report that the request ran. A small answer is stored for replay; None stores no body.

        Returns True if the report is proven to be written. Otherwise, it is retried later.
        """
        return await self._report(
            claim, with_outcome(claim.row, ClaimState.DONE, status, headers, body)
        )

    async def mark_unknown(self, claim: ClaimGranted) -> bool:
        """Report that the request was sent and that it is not known whether it ran."""
        return await self._report(claim, with_outcome(claim.row, ClaimState.UNKNOWN))

    async def release(self, claim: ClaimGranted) -> bool:
        """Report that the request has not run, so that the key may be claimed again."""
        return await self._report(claim, with_outcome(claim.row, ClaimState.RELEASED))

    async def retry_reports(self) -> int:
        """Retry pending reports; return how many are left. Repeated until it is 0 before a stop."""
        return await self.reports.retry_pending(REPORT_RETRY_BATCH)

    def dump(self) -> dict:
        """Return the numbers of held claims and pending reports, and the counters."""
        counts = {name: getattr(self.counts, name) for name in self.counts.__slots__}
        return {
            "held": len(self.held),
            "unproven_reports": len(self.reports.pending),
            "overtaken": self.reports.superseded,
            **counts,
        }

    async def _claim(self, row_key: str, row: ClaimRow, deadline: float) -> ClaimResult:
        version = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            result = await self._insert(row_key, row, version, deadline)
            if result.is_ok():
                return self._grant(row_key, row, version, deadline)
            if result.error.kind is StoreErrorKind.UNKNOWN:
                return self._abandon(row_key, row, version)
            if result.error.kind is not StoreErrorKind.CONDITION_FAILED:
                return self._unavailable(result.error.message)
            found = await self._read(row_key, deadline)
            if found.is_error():
                return self._unavailable(found.error.message)
            answer = self._result_for_existing(found.ok, row)
            if answer is not None:
                return answer
            version = found.ok.version if found.ok else 0
        return self._unavailable("the claim is contended; try again")

    async def _insert(self, row_key: str, row: ClaimRow, version: int, deadline: float) -> Result:
        condition = Condition(CLAIMS_TABLE, row_key, version)
        write = Write(CLAIMS_TABLE, row_key, ENCODER.encode(row))
        try:
            return await self.store.transact_verified(
                [condition], [write], write, deadline, Priority.CLAIM
            )
        except curio.CancelledError:
            self._abandon(row_key, row, version)
            raise

    async def _read(self, row_key: str, deadline: float) -> Result:
        remaining = min(CALL_TIMEOUT, max(0.0, deadline - self.clock.now()))
        return await self.store.read(CLAIMS_TABLE, row_key, remaining, Priority.CLAIM)

    def _result_for_existing(self, found: Row | None, row: ClaimRow) -> ClaimResult | None:
        """Return the result that the existing row implies, or None if the key may be claimed."""
        if found is None:
            return None
        existing = decode_claim(found.value)
        if existing is None:
            return self._unavailable("the claim's row is of a newer version; replace this VM")
        if self.reports.is_abandoned(existing.token):
            return None
        status = key_status(existing, row.digest, self.clock.wall())
        if status is KeyStatus.FREE:
            return None
        if status is KeyStatus.MISMATCH:
            self.counts.mismatched += 1
            return ClaimMismatch()
        if status is KeyStatus.DONE:
            self.counts.replayed += 1
            return ClaimReplay(existing.status, existing.headers, existing.body)
        if status is KeyStatus.BUSY:
            self.counts.busy += 1
            return ClaimBusy(existing.vm, existing.at)
        self.counts.unknown += 1
        return ClaimUnknown(existing.vm, existing.at)

    def _grant(
        self, row_key: str, row: ClaimRow, version: int, deadline: float
    ) -> ClaimGranted | ClaimUnavailable:
        claim = ClaimGranted(row_key, row, version + 1, deadline)
        if self.clock.now() >= deadline:
            self.reports.enqueue(
                ClaimReport(row_key, with_outcome(row, ClaimState.RELEASED), version + 1)
            )
            self.counts.abandoned += 1
            return self._unavailable("the claim came too late; try again")
        self.held[row.token] = claim
        self.counts.granted += 1
        return claim

    def _abandon(self, row_key: str, row: ClaimRow, version: int) -> ClaimUnavailable:
        # Nothing is ever sent under this token, since only this object knows it.
        self.reports.enqueue(ClaimReport(row_key, with_outcome(row, ClaimState.RELEASED), version))
        self.counts.abandoned += 1
        return self._unavailable("the store did not confirm the claim in time; try again")

    def _unavailable(self, message: str) -> ClaimUnavailable:
        self.counts.unavailable += 1
        return ClaimUnavailable(message)

    async def _report(self, claim: ClaimGranted, row: ClaimRow) -> bool:
        self.held.pop(claim.row.token, None)
        return await self.reports.write(ClaimReport(claim.row_key, row, claim.version))
