"""Reads and commits manifests in the table service.

Each commit carries a unique token: after a lost answer, reading the row back tells by its token
whether the commit took effect.
"""

from collections.abc import Awaitable, Callable
from math import inf

import curio
import msgspec
from expression import Result

from ..exceptions import StoreUnavailable
from ..timers import Clock
from .base import Condition, Row, StoreError, StoreErrorKind, TableService, Write
from .upload_index import INDEX_TABLE, MANIFEST_TABLE, UploadEntry, manifest_writes, removal_writes
from .upload_manifest import Manifest, UploadConflict

CALL_TIMEOUT = 5.0
"""Timeout in seconds of one call to the table service."""

LATE_CALL_TIMEOUT = 1.0
"""Minimum timeout in seconds of a call, also close to the caller's deadline or after it."""

MIN_RETRY_DELAY = 0.05
"""Delay in seconds before the first retry; doubled for each further one."""

MAX_RETRY_DELAY = 2.0
"""Maximum delay in seconds between retries."""


class CommitUnknown(StoreUnavailable):
    """A commit got no answer in time; it may have taken effect, or take effect later."""


class AcceptanceUnknown(StoreUnavailable):
    """The accepting commit may have taken effect, may do so later, or never."""


class VersionedManifest:
    """A manifest and the version of its row, as last read or written by this VM."""

    __slots__ = ("manifest", "version")

    def __init__(self, manifest: Manifest, version: int):
        self.manifest = manifest
        self.version = version


class RetryBackoff:
    """Exponential backoff for calls to the store.

    Retries end `seconds` from now or at the caller's deadline, whichever is first. A first call is
    still made after the deadline, with `LATE_CALL_TIMEOUT`: the deadline limits waits for a store
    that does not answer, not the duration of an upload.
    """

    __slots__ = ("clock", "sleep", "deadline", "retry_until", "delay")

    def __init__(
        self, clock: Clock, sleep: Callable[[float], Awaitable], seconds: float, deadline: float
    ):
        self.clock = clock
        self.sleep = sleep
        self.deadline = deadline
        self.retry_until = min(clock.now() + seconds, deadline)
        self.delay = MIN_RETRY_DELAY

    def timeout(self, limit: float) -> float:
        """Return the timeout in seconds of the next call, at most `limit`."""
        return min(limit, max(LATE_CALL_TIMEOUT, self.deadline - self.clock.now()))

    async def wait(self) -> bool:
        """Wait before the next retry; return False at once if no time is left for it."""
        if self.clock.now() + self.delay > self.retry_until:
            return False
        await self.sleep(self.delay)
        self.delay = min(MAX_RETRY_DELAY, self.delay * 2)
        return True


class ManifestTable:
    """Reads and updates manifests by conditional transactions.

    Raises `UploadConflict` when another change came first, `StoreUnavailable` when nothing was
    written, and `CommitUnknown` when that is not known. A commit without an answer is retried with
    the same token and condition, so at most one of the copies takes effect.

    `retry_timeout` is how long calls are retried, in seconds; `deadline` is the caller's, on the
    monotonic clock.
    """

    def __init__(self, tables: TableService, clock: Clock, sleep=curio.sleep):
        self.tables = tables
        self.clock = clock
        self.sleep = sleep

    async def read(
        self, upload: str, retry_timeout: float = 0.0, deadline: float = inf
    ) -> VersionedManifest | None:
        """Return an upload's manifest, or None if there is none."""
        backoff = RetryBackoff(self.clock, self.sleep, retry_timeout, deadline)
        while True:
            match await self.tables.read(MANIFEST_TABLE, upload, backoff.timeout(CALL_TIMEOUT)):
                case Result(tag="ok", ok=row):
                    return _decode_row(row)
                case Result(error=error):
                    if not await backoff.wait():
                        raise _unavailable_error(error)

    async def insert(
        self, manifest: Manifest, retry_timeout: float = 0.0, deadline: float = inf
    ) -> VersionedManifest:
        """Insert a new manifest."""
        backoff = RetryBackoff(self.clock, self.sleep, retry_timeout, deadline)
        return await self._commit(None, 0, manifest, backoff)

    async def update(
        self,
        current: VersionedManifest,
        manifest: Manifest,
        retry_timeout: float = 0.0,
        deadline: float = inf,
    ) -> VersionedManifest:
        """Replace the manifest `current` by `manifest`."""
        backoff = RetryBackoff(self.clock, self.sleep, retry_timeout, deadline)
        return await self._commit(current.manifest, current.version, manifest, backoff)

    async def remove(self, current: VersionedManifest) -> bool:
        """Remove a manifest if its row is unchanged; return whether it is known to be removed."""
        conditions = [Condition(MANIFEST_TABLE, current.manifest.id, current.version)]
        result = await self.tables.transact(
            conditions, removal_writes(current.manifest), CALL_TIMEOUT
        )
        return result.is_ok()

    async def list_entries(
        self, prefix: str, after: str, limit: int
    ) -> list[tuple[str, UploadEntry]]:
        """Return up to `limit` index entries with their keys, in order, after the key `after`."""
        match await self.tables.scan(INDEX_TABLE, prefix, after, limit, CALL_TIMEOUT):
            case Result(tag="ok", ok=rows):
                return [(r.key, msgspec.msgpack.decode(r.value, type=UploadEntry)) for r in rows]
            case Result(error=error):
                raise _unavailable_error(error)

    async def _commit(
        self, before: Manifest | None, version: int, after: Manifest, backoff: RetryBackoff
    ) -> VersionedManifest:
        rows = manifest_writes(before, after)
        may_have_committed = False
        while True:
            error = await self._transact(version, after, rows, backoff)
            if error is None:
                return VersionedManifest(after, version + 1)
            if error.kind is StoreErrorKind.CONDITION_FAILED:
                row = await self._read_back(after, backoff, may_have_committed)
                if _is_written(row, after):
                    return row
                if not _is_unchanged(row, before):
                    raise _conflict_error(after)
                version = row.version if row else 0
                continue
            may_have_committed = may_have_committed or error.kind is StoreErrorKind.UNKNOWN
            if await backoff.wait():
                continue
            if not may_have_committed:
                raise _unavailable_error(error)
            return await self._read_back_once(before, after, backoff.deadline)

    async def _read_back_once(
        self, before: Manifest | None, after: Manifest, deadline: float
    ) -> VersionedManifest:
        """Read the row once more after the last retry to see if the commit took effect."""
        no_retries = RetryBackoff(self.clock, self.sleep, 0.0, deadline)
        row = await self._read_back(after, no_retries, may_have_committed=True)
        if _is_written(row, after):
            return row
        if _is_unchanged(row, before):
            raise CommitUnknown(
                f"upload {after.id}: a commit got no answer; look the upload up later"
            )
        raise _conflict_error(after)

    async def _transact(
        self, version: int, after: Manifest, rows: list[Write], backoff: RetryBackoff
    ) -> StoreError | None:
        conditions = [Condition(MANIFEST_TABLE, after.id, version)]
        match await self.tables.transact(conditions, rows, backoff.timeout(CALL_TIMEOUT)):
            case Result(tag="ok"):
                return None
            case Result(error=error):
                return error

    async def _read_back(
        self, after: Manifest, backoff: RetryBackoff, may_have_committed: bool
    ) -> VersionedManifest | None:
        while True:
            match await self.tables.read(MANIFEST_TABLE, after.id, backoff.timeout(CALL_TIMEOUT)):
                case Result(tag="ok", ok=row):
                    return _decode_row(row)
                case Result(error=error):
                    if not await backoff.wait():
                        raise (
                            CommitUnknown(error.message)
                            if may_have_committed
                            else _unavailable_error(error)
                        )


def _is_written(row: VersionedManifest | None, after: Manifest) -> bool:
    return row is not None and row.manifest.token == after.token


def _is_unchanged(row: VersionedManifest | None, before: Manifest | None) -> bool:
    if row is None or before is None:
        return row is before
    return row.manifest.token == before.token


def _conflict_error(after: Manifest) -> UploadConflict:
    return UploadConflict(f"upload {after.id} was changed elsewhere; ask for its offset")


def _decode_row(row: Row | None) -> VersionedManifest | None:
    if row is None:
        return None
    return VersionedManifest(msgspec.msgpack.decode(row.value, type=Manifest), row.version)


def _unavailable_error(error: StoreError) -> StoreUnavailable:
    return StoreUnavailable(f"{error.message}; try again when the platform answers")
