"""Versions of the fleet's configuration: a head row that is advanced by compare-and-set.

A proposal is accepted only once the change row with its token is proven to be in the table. Change
rows are never overwritten, so that the outcome of a proposal can be read at any later time.
"""

from expression import Error, Ok, Result

from ..timers import Clock
from .base import Condition, ObjectStore, Row, StoreError, StoreErrorKind, Write
from .claim_rows import new_token
from .client import CALL_TIMEOUT, StoreClient
from .rates import Priority
from .version_rows import (
    CHANGE_DECODER,
    CHANGE_PREFIX,
    CONFIGURATION_TABLE,
    ENCODER,
    HEAD_DECODER,
    HEAD_KEY,
    NO_SNAPSHOT,
    NO_VERSION,
    SNAPSHOT_INTERVAL,
    SNAPSHOT_PREFIX,
    Accepted,
    ChangeRow,
    Conflict,
    HeadRow,
    LoadedConfiguration,
    NotAccepted,
    ProposalResult,
    Snapshot,
    Unproven,
    change_key,
    snapshot_name,
)

CHANGES_PER_SCAN = 100
"""Maximum number of change rows that one scan reads."""

MAX_PROPOSE_ATTEMPTS = 3
"""Maximum number of attempts to commit or resolve a proposal while fences change the head row."""

SNAPSHOT_LOOKBACK = 100
"""Number of snapshot intervals that are searched for the newest snapshot."""

RETAINED_CHANGES = 20_000
"""Number of changes kept for the history. More than `SNAPSHOT_LOOKBACK` intervals."""

PRUNE_BATCH = 25
"""Maximum number of changes that one transaction deletes."""

SNAPSHOT_TIMEOUT = 5.0
"""Timeout, in seconds, of reading or writing a snapshot."""


class Versions:
    """Reads and writes the configuration's rows and snapshots, which are opaque bytes here."""

    def __init__(
        self, store: StoreClient, clock: Clock, snapshot_interval: int = SNAPSHOT_INTERVAL
    ):
        self.store = store
        self.objects: ObjectStore = store.objects
        self.clock = clock
        self.snapshot_interval = snapshot_interval

    async def propose(
        self, expected_version: int, change: bytes, author: str, timeout: float
    ) -> ProposalResult:
        """Commit `change` as version `expected_version + 1` if that is the next version."""
        deadline = self.clock.now() + timeout
        row = ChangeRow(expected_version + 1, author, self.clock.wall(), new_token(), bytes(change))
        for _ in range(MAX_PROPOSE_ATTEMPTS):
            found = await self._head_row(deadline)
            if found.is_error():
                return NotAccepted(found.error.message)
            head = _decode_head(found.ok)
            if head.version != expected_version:
                return Conflict(head.version, head.author, head.at)
            result = await self._commit(row, found.ok, deadline)
            if result.is_ok():
                return Accepted(row)
            if result.error.kind is StoreErrorKind.UNKNOWN:
                return Unproven(row.version, row.token, result.error.message)
            if result.error.kind is not StoreErrorKind.CONDITION_FAILED:
                return NotAccepted(result.error.message)
        return NotAccepted("the head row changed each time; read it and propose again")

    async def resolve(self, unproven: Unproven, timeout: float) -> ProposalResult:
        """Determine the outcome of a proposal, and rule out that it is committed later.

        If its change row does not exist, the head row is rewritten with a higher `fences`. The new
        version of the row makes the condition of the proposal fail.
        """
        deadline = self.clock.now() + timeout
        for _ in range(MAX_PROPOSE_ATTEMPTS):
            outcome = await self._committed_result(unproven, deadline)
            if outcome is not None:
                return outcome
            fenced = await self._fence(deadline)
            if fenced.is_error() and fenced.error.kind is not StoreErrorKind.CONDITION_FAILED:
                return Unproven(unproven.version, unproven.token, fenced.error.message)
            outcome = await self._committed_result(unproven, deadline)
            if outcome is not None:
                return outcome
            if fenced.is_ok():
                return NotAccepted("the change was not committed; propose it again")
        return Unproven(unproven.version, unproven.token, "the head row changes; try again")

    async def latest(self, timeout: float = CALL_TIMEOUT) -> Result[HeadRow, StoreError]:
        """Return the head row of the newest version, or of version 0 if there is none."""
        found = await self.store.read(CONFIGURATION_TABLE, HEAD_KEY, timeout)
        return found.map(_decode_head)

    async def changes_since(
        self, version: int, limit: int = CHANGES_PER_SCAN
    ) -> Result[list[ChangeRow], StoreError]:
        """Return up to `limit` changes after `version`, in order, up to the first gap."""
        rows = await self.store.scan(
            CONFIGURATION_TABLE, CHANGE_PREFIX, change_key(version), limit, CALL_TIMEOUT
        )
        return rows.map(lambda found: _contiguous_changes(version, found))

    async def history(self, limit: int) -> Result[list[ChangeRow], StoreError]:
        """Return the last `limit` changes, newest first."""
        head = await self.latest()
        if head.is_error():
            return head
        rows = await self.changes_since(max(0, head.ok.version - limit), limit)
        return rows.map(lambda changes: changes[::-1])

    def is_snapshot_due(self, version: int) -> bool:
        """Return whether a snapshot of `version` is to be saved by the VM that proposed it."""
        return version > 0 and version % self.snapshot_interval == 0

    async def save_snapshot(self, version: int, data: bytes) -> Result[None, StoreError]:
        """Store the whole configuration as of `version`, unless another VM has done so."""
        result = await self.objects.put(snapshot_name(version), data, SNAPSHOT_TIMEOUT)
        if result.is_error() and result.error.kind is StoreErrorKind.CONDITION_FAILED:
            return Ok(None)
        return result

    async def snapshot(self, version: int) -> Result[Snapshot, StoreError]:
        """Return the newest recent snapshot up to `version`, or that of version 0 if there is none.

        The last `SNAPSHOT_LOOKBACK` intervals are searched.
        """
        oldest = max(0, version - SNAPSHOT_LOOKBACK * self.snapshot_interval)
        names = await self.objects.names(
            SNAPSHOT_PREFIX, snapshot_name(oldest), SNAPSHOT_LOOKBACK + 1, SNAPSHOT_TIMEOUT
        )
        if names.is_error():
            return names
        candidates = [name for name in names.ok if name <= snapshot_name(version)]
        if not candidates:
            return Ok(NO_SNAPSHOT)
        data = await self.objects.get(candidates[-1], SNAPSHOT_TIMEOUT)
        snapshot_version = int(candidates[-1].removeprefix(SNAPSHOT_PREFIX))
        return data.map(
            lambda found: NO_SNAPSHOT if found is None else Snapshot(snapshot_version, found)
        )

    async def load(self) -> Result[LoadedConfiguration, StoreError]:
        """Return all that a new VM needs to build the newest version."""
        head = await self.latest()
        if head.is_error():
            return head
        snapshot = await self.snapshot(head.ok.version)
        if snapshot.is_error():
            return snapshot
        changes: list[ChangeRow] = []
        version = snapshot.ok.version
        while version < head.ok.version:
            batch = await self.changes_since(version)
            if batch.is_error():
                return batch
            if not batch.ok:
                text = f"change {version + 1} is gone; save a snapshot from a VM that runs"
                return Error(StoreError(StoreErrorKind.REJECTED, text))
            changes += batch.ok
            version = batch.ok[-1].version
        return Ok(LoadedConfiguration(head.ok, snapshot.ok, changes))

    async def prune(self, retained: int = RETAINED_CHANGES) -> int:
        """Delete some of the changes before the last `retained` ones; return how many.

        Nothing is deleted without a later snapshot, so that a new VM never needs these changes.
        """
        head = await self.latest()
        newest_removable = head.ok.version - retained if head.is_ok() else 0
        if newest_removable <= 0:
            return 0
        snapshot = await self.snapshot(head.ok.version)
        if snapshot.is_error() or snapshot.ok.version <= newest_removable:
            return 0
        rows = await self.store.scan(
            CONFIGURATION_TABLE, CHANGE_PREFIX, "", PRUNE_BATCH, CALL_TIMEOUT
        )
        removable = [
            row for row in rows.default_value([]) if row.key <= change_key(newest_removable)
        ]
        if not removable:
            return 0
        writes = [Write(CONFIGURATION_TABLE, row.key, None) for row in removable]
        result = await self.store.transact([], writes, CALL_TIMEOUT, Priority.BACKGROUND)
        return len(removable) if result.is_ok() else 0

    async def _head_row(self, deadline: float) -> Result[Row | None, StoreError]:
        remaining = min(CALL_TIMEOUT, max(0.0, deadline - self.clock.now()))
        return await self.store.read(CONFIGURATION_TABLE, HEAD_KEY, remaining)

    async def _commit(self, row: ChangeRow, found: Row | None, deadline: float) -> Result:
        head = HeadRow(row.version, row.author, row.at, row.token)
        change = Write(CONFIGURATION_TABLE, change_key(row.version), ENCODER.encode(row))
        conditions = [
            Condition(CONFIGURATION_TABLE, HEAD_KEY, found.version if found else 0),
            Condition(CONFIGURATION_TABLE, change.key, 0),
        ]
        writes = [Write(CONFIGURATION_TABLE, HEAD_KEY, ENCODER.encode(head)), change]
        return await self.store.transact_verified(conditions, writes, change, deadline)

    async def _committed_result(self, unproven: Unproven, deadline: float) -> ProposalResult | None:
        """Return the result that the change row proves, or None if the row does not exist."""
        remaining = min(CALL_TIMEOUT, max(0.0, deadline - self.clock.now()))
        found = await self.store.read(CONFIGURATION_TABLE, change_key(unproven.version), remaining)
        if found.is_error():
            return Unproven(unproven.version, unproven.token, found.error.message)
        if found.ok is None:
            return None
        row = CHANGE_DECODER.decode(found.ok.value)
        if row.token == unproven.token:
            return Accepted(row)
        return Conflict(row.version, row.author, row.at)

    async def _fence(self, deadline: float) -> Result[None, StoreError]:
        found = await self._head_row(deadline)
        if found.is_error():
            return found
        head = _decode_head(found.ok)
        fence = HeadRow(head.version, head.author, head.at, head.token, head.fences + 1)
        write = Write(CONFIGURATION_TABLE, HEAD_KEY, ENCODER.encode(fence))
        condition = Condition(CONFIGURATION_TABLE, HEAD_KEY, found.ok.version if found.ok else 0)
        remaining = min(CALL_TIMEOUT, max(0.0, deadline - self.clock.now()))
        return await self.store.transact([condition], [write], remaining, Priority.NORMAL)


def _decode_head(row: Row | None) -> HeadRow:
    return NO_VERSION if row is None else HEAD_DECODER.decode(row.value)


def _contiguous_changes(version: int, rows: list[Row]) -> list[ChangeRow]:
    changes: list[ChangeRow] = []
    for row in rows:
        change = CHANGE_DECODER.decode(row.value)
        if change.version != version + len(changes) + 1:
            break
        changes.append(change)
    return changes
