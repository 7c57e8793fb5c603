"""What operators and time do to claims: listing, release by hand, removal by age."""

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
"""Seconds for which a finished claim is kept; its key is refused or replayed that long."""

REMOVAL_INTERVAL = 2.0
"""Seconds between two steps of the removal by age."""

PAGE_SIZE = 100
"""Rows read in one step of the removal, and in one step of a list."""

DELETE_BATCH = 25
"""Rows removed by one transaction."""

MAX_LIST_PAGES = 50
"""Pages read for one list."""

RELEASE_GRACE = 30.0
"""Seconds after a holder's deadline before an operator may release its claim."""

OPEN_STATES = (ClaimState.HELD, ClaimState.UNKNOWN)
"""States that only the holder or an operator ends."""


class ClaimNotReleased(SequoiaError):
    """An operator's release was refused and nothing was changed; the message says why."""


class OpenClaim:
    """An open claim for the operator: the row's key, the row, and for how long it is open."""

    __slots__ = ("row_key", "row", "open_seconds")

    def __init__(self, row_key: str, row: ClaimRow, open_seconds: float):
        self.row_key = row_key
        self.row = row
        self.open_seconds = open_seconds


class ClaimList:
    """Open claims found; `next_after` is where to go on, None if the table was read to its end."""

    __slots__ = ("claims", "next_after")

    def __init__(self, claims: list[OpenClaim], next_after: str | None):
        self.claims = claims
        self.next_after = next_after


class ClaimAdmin:
    """Lists, releases and removes claims. `random` chooses where this VM begins to look."""

    def __init__(
        self, store: StoreClient, clock: Clock, random: Random, retention: float = RETENTION
    ):
        self.store = store
        self.clock = clock
        self.retention = retention
        self.cursor = random.randbytes(KEY_BYTES).hex()
        self.removed = 0

    def subscribe(self, timers: Timers) -> None:
        """Remove old claims step by step."""
        timers.every(REMOVAL_INTERVAL, "claims sweep", self.remove_expired)

    async def list_open(self, limit: int, after: str = "") -> Result[ClaimList, StoreError]:
        """Return up to `limit` claims whose outcome nobody has reported by their deadline."""
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
        """Free an open claim's key on the operator's word that its request did not run.

        The release and its audit entry are one transaction. Refused within `RELEASE_GRACE` of the
        holder's deadline: until then a holder that was paused might still send.

        Errors: `ClaimNotReleased`; `ConflictError` if the claim changed meanwhile;
        `StoreUnavailable` if the store does not answer, the release is then not proven.
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
        """Return releases by operators, oldest first."""
        rows = await self.store.scan(AUDIT_TABLE, "", after, limit, CALL_TIMEOUT)
        return rows.map(lambda found: [AUDIT_DECODER.decode(row.value) for row in found])

    async def remove_expired(self) -> int:
        """Look at one page of claims and remove the finished ones past their age."""
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
