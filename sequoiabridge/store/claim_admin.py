"""Lists open claims and releases them for operators, and removes expired claims."""

from random import Random

from expression import Error, Ok, Result

from ..exceptions import ConflictError, SequoiaError, StoreUnavailable
from ..logs import get_log
from ..timers import Clock, Timers
from .base import Condition, Row, StoreError, StoreErrorKind, Write
from .claim_rows import (
    AUDIT_DECODER,
    AUDIT_TABLE,
    CLAIMS_TABLE,
    ENCODER,
    KEY_BYTES,
    REPORT_GRACE,
    AuditRow,
    ClaimRow,
    ClaimState,
    decode_claim,
    new_token,
    with_outcome,
)
from .client import CALL_TIMEOUT, StoreClient
from .rates import Priority

log = get_log("claims")

RETENTION = 24 * 3600.0
"""Seconds for which a finished claim is stored and its key is replayed or refused."""

REMOVAL_INTERVAL = 2.0
"""Seconds between two steps of the removal of expired claims."""

PAGE_SIZE = 100
"""Number of rows read by one scan."""

DELETE_BATCH = 25
"""Maximum number of rows that one transaction deletes."""

MAX_LIST_PAGES = 50
"""Maximum number of scans for one list."""

RELEASE_GRACE = 30.0
"""Seconds after the holder's deadline until an operator may release the claim."""

OPEN_STATES = (ClaimState.HELD, ClaimState.UNKNOWN)
"""States that only the holder or an operator can end."""


class ClaimNotReleased(SequoiaError):
    """A release by an operator was refused. Nothing was changed; the message states the reason."""


class OpenClaim:
    """An open claim: the row's key, the row, and the seconds since the claim was made."""

    __slots__ = ("row_key", "row", "open_seconds")

    def __init__(self, row_key: str, row: ClaimRow, open_seconds: float):
        self.row_key = row_key
        self.row = row
        self.open_seconds = open_seconds


class ClaimList:
    """Open claims. `next_after` is the key to continue after, None at the end of the table."""

    __slots__ = ("claims", "next_after")

    def __init__(self, claims: list[OpenClaim], next_after: str | None):
        self.claims = claims
        self.next_after = next_after


class ClaimAdmin:
    """Lists, releases and removes claims.

    `random` chooses the key at which this VM starts to look for expired claims.
    """

    def __init__(
        self, store: StoreClient, clock: Clock, random: Random, retention: float = RETENTION
    ):
        self.store = store
        self.clock = clock
        self.retention = retention
        self.cursor = random.randbytes(KEY_BYTES).hex()
        self.removed = 0

    def subscribe(self, timers: Timers) -> None:
        """Remove expired claims periodically."""
        timers.every(REMOVAL_INTERVAL, "claims sweep", self.remove_expired)

    async def list_open(self, limit: int, after: str = "") -> Result[ClaimList, StoreError]:
        """Return up to `limit` open claims: outcome unknown, or not reported in time."""
        found: list[OpenClaim] = []
        for _ in range(MAX_LIST_PAGES):
            page = await self._read_page(after)
            if page.is_error():
                return page
            for row in page.ok:
                after = row.key
                self._add_open(found, row)
                if len(found) == limit:
                    return Ok(ClaimList(found, after))
            if len(page.ok) < PAGE_SIZE:
                return Ok(ClaimList(found, None))
        return Ok(ClaimList(found, after))

    async def release_by_operator(
        self, row_key: str, author: str, reason: str, timeout: float
    ) -> Result[ClaimRow, SequoiaError]:
        """Release an open claim because an operator states that its request did not run.

        The release and its audit entry are written in one transaction. A release is refused until
        `RELEASE_GRACE` after the holder's deadline, since the holder may still send.

        Errors: `ClaimNotReleased` if the release is refused; `ConflictError` if the claim changed
        meanwhile; `StoreUnavailable` if the store does not answer, so that the claim may or may not
        be released.
        """
        found = await self.store.read(CLAIMS_TABLE, row_key, timeout)
        if found.is_error():
            return Error(
                StoreUnavailable(f"Claim {row_key} cannot be read: {found.error.message}.")
            )
        if found.ok is None:
            return Error(ClaimNotReleased(f"There is no claim {row_key}; see show claims."))
        row = decode_claim(found.ok.value)
        problem = self._release_problem(row)
        if problem:
            return Error(ClaimNotReleased(problem))
        audit = AuditRow(row_key, author, reason, self.clock.wall(), new_token(), row)
        return await self._release(found.ok, row, audit, timeout)

    async def list_releases(
        self, limit: int, after: str = ""
    ) -> Result[list[AuditRow], StoreError]:
        """Return up to `limit` releases by operators, oldest first."""
        rows = await self.store.scan(AUDIT_TABLE, "", after, limit, CALL_TIMEOUT)
        return rows.map(lambda found: [AUDIT_DECODER.decode(row.value) for row in found])

    async def remove_expired(self) -> int:
        """Read the next page of claims, delete expired ones and return how many were deleted."""
        page = await self._read_page(self.cursor)
        if page.is_error():
            return 0
        expired = [row for row in page.ok if self._is_expired(row)]
        self.cursor = self._next_cursor(page.ok, expired)
        expired = expired[:DELETE_BATCH]
        if not expired:
            return 0
        conditions = [Condition(CLAIMS_TABLE, row.key, row.version) for row in expired]
        writes = [Write(CLAIMS_TABLE, row.key, None) for row in expired]
        result = await self.store.transact(conditions, writes, CALL_TIMEOUT, Priority.BACKGROUND)
        removed = len(expired) if result.is_ok() else 0
        self.removed += removed
        return removed

    async def _read_page(self, after: str) -> Result[list[Row], StoreError]:
        return await self.store.scan(
            CLAIMS_TABLE, "", after, PAGE_SIZE, CALL_TIMEOUT, Priority.BACKGROUND
        )

    def _next_cursor(self, page: list[Row], expired: list[Row]) -> str:
        if len(expired) > DELETE_BATCH:
            return expired[DELETE_BATCH - 1].key
        return page[-1].key if len(page) == PAGE_SIZE else ""

    def _is_expired(self, row: Row) -> bool:
        claim = decode_claim(row.value)
        if claim is None or claim.state in OPEN_STATES:
            return False
        age = self.clock.wall() - max(claim.at, claim.until)
        return age > self.retention

    def _add_open(self, found: list[OpenClaim], row: Row) -> None:
        claim = decode_claim(row.value)
        if claim is None:
            return
        wall = self.clock.wall()
        overdue = claim.state is ClaimState.UNKNOWN or wall > claim.until + REPORT_GRACE
        if claim.state in OPEN_STATES and overdue:
            found.append(OpenClaim(row.key, claim, wall - claim.at))

    def _release_problem(self, row: ClaimRow | None) -> str | None:
        if row is None:
            return "The claim's row is of a newer version; ask a VM of that version."
        if row.state not in OPEN_STATES:
            return f"The claim is {row.state.value} already; there is nothing to release."
        wait = row.until + RELEASE_GRACE - self.clock.wall()
        if wait > 0:
            return f"Its holder {row.vm} may still send; release it in {wait:.0f} s."
        return None

    async def _release(
        self, found: Row, row: ClaimRow, audit: AuditRow, timeout: float
    ) -> Result[ClaimRow, SequoiaError]:
        released = with_outcome(row, ClaimState.RELEASED)
        entry = Write(AUDIT_TABLE, f"{audit.at:017.6f}-{audit.token}", ENCODER.encode(audit))
        conditions = [
            Condition(CLAIMS_TABLE, found.key, found.version),
            Condition(AUDIT_TABLE, entry.key, 0),
        ]
        writes = [Write(CLAIMS_TABLE, found.key, ENCODER.encode(released)), entry]
        deadline = self.clock.now() + timeout
        result = await self.store.transact_verified(conditions, writes, entry, deadline)
        if result.is_ok():
            log.info("Claim %s released by %s.", found.key, audit.author)
            return Ok(released)
        if result.error.kind is StoreErrorKind.CONDITION_FAILED:
            return Error(
                ConflictError(
                    "The claim changed meanwhile; see show claims, then release it again."
                )
            )
        message = f"The release is not proven ({result.error.message}); see show claims first."
        return Error(StoreUnavailable(message))
