"""Delivers accepted uploads to upstreams, with retries until one confirms each.

A lease normally keeps two VMs from delivering the same upload. When it expires during a delivery,
both may deliver; the upstream recognizes the duplicate by id and digest. An upload is delivered
once a commit after the upstream's confirmation says so.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from random import Random

import curio

from ..component import Component
from ..exceptions import SequoiaError, StoreUnavailable
from ..logs import get_log
from ..pipeline.exchange import Body
from ..timers import Clock
from .upload_chunks import DeliveryAborted
from .upload_index import WORK_PREFIX, UploadEntry, chunk_name
from .upload_manifest import (
    DELIVERABLE_STATES,
    Manifest,
    UploadConflict,
    UploadState,
    claim,
    is_claimable,
    mark_delivered,
    mark_failed,
    postpone,
    record_crash,
    renew_lease,
    retry_delay,
)
from .upload_table import VersionedManifest
from .uploads import Uploads

log = get_log("uploads")

LEASE_SECONDS = 30.0
"""Duration of the lease of a delivery in seconds; renewed after each third while bytes are sent."""

RETENTION_SECONDS = 7 * 86400.0
"""Seconds for which a delivered or abandoned upload is kept to detect duplicates."""

MAX_PARALLEL_DELIVERIES = 2
"""Default maximum number of concurrent deliveries on one VM."""

INDEX_PAGE_SIZE = 100
"""Maximum number of index entries read in one step."""

READ_SIZE = 256 * 1024
"""Maximum number of bytes returned by one read of a delivery's body."""


class DeliveryOutcome(Enum):
    """Outcome of one delivery attempt."""

    CONFIRMED = "confirmed"
    """The upstream received the whole body and confirmed it."""
    ALREADY_STORED = "held-already"
    """The upstream confirmed id and digest; it need not have read the body."""
    RETRY = "retry"
    """Not confirmed; retry later."""
    CRASHED = "crashed"
    """The upstream crashed during the delivery; after too many such crashes the upload is held."""
    REFUSED = "refused"
    """The upstream rejected it permanently; it is held for the operator."""


class DeliveryResult:
    """Result of one delivery attempt.

    Attributes:
        error: Why the upload was not confirmed, or "".
        upstream: Name of the upstream that crashed, or "".
    """

    __slots__ = ("outcome", "error", "upstream")

    def __init__(self, outcome: DeliveryOutcome, error: str = "", upstream: str = ""):
        self.outcome = outcome
        self.error = error
        self.upstream = upstream


SendUpload = Callable[[Manifest, Body], Awaitable[DeliveryResult]]
"""Sends a whole upload to an upstream; a raised `SequoiaError` counts as `RETRY`."""


class ChunkBody(Body):
    """Body of a delivery, read from the object store chunk by chunk.

    Renews the lease while it is read. Raises `DeliveryAborted` if the lease was lost or a chunk is
    missing or damaged, so that a partial body never looks complete.
    """

    __slots__ = ("deliverer", "current", "next_index", "chunk", "position", "complete")

    def __init__(self, deliverer: "UploadDeliverer", current: VersionedManifest):
        self.deliverer = deliverer
        self.current = current
        self.next_index = 0
        self.chunk = b""
        self.position = 0
        self.complete = not current.manifest.chunks

    async def read(self) -> bytes:
        await self.renew()
        if self.position == len(self.chunk) and not await self._load_next_chunk():
            return b""
        data = self.chunk[self.position : self.position + READ_SIZE]
        self.position += len(data)
        return data

    async def _load_next_chunk(self) -> bool:
        manifest = self.current.manifest
        # Free the previous chunk first, to keep only one in memory.
        self.chunk, self.position = b"", 0
        if self.next_index == len(manifest.chunks):
            self.complete = True
            return False
        chunk = manifest.chunks[self.next_index]
        self.chunk = await self.deliverer.uploads.chunks.get(manifest.id, chunk)
        self.next_index += 1
        self.deliverer.progress[manifest.id] = chunk.offset + chunk.length
        return True

    async def renew(self) -> None:
        """Renew the lease if due. Raises `DeliveryAborted` if it was lost."""
        try:
            self.current = await self.deliverer.renew(self.current, self.current.manifest.digest)
        except UploadConflict as error:
            raise DeliveryAborted(str(error)) from error


class UploadDeliverer(Component):
    """Delivers accepted uploads.

    Attributes:
        progress: Bytes sent of each upload that this VM is delivering, by id.
        stopping: Set before a planned stop; no more deliveries are started.
        page_cursor: Index key after which the next page of uploads begins.
        confirmed: Number of uploads delivered since the start.
        postponed: Number of attempts that were not confirmed since the start.
    """

    name = "deliveries"

    def __init__(
        self,
        uploads: Uploads,
        send: SendUpload,
        clock: Clock,
        *,
        random: Random | None = None,
        max_parallel: int = MAX_PARALLEL_DELIVERIES,
        lease: float = LEASE_SECONDS,
        retention: float = RETENTION_SECONDS,
    ):
        self.uploads = uploads
        self.send = send
        self.clock = clock
        self.random = random or Random()
        self.max_parallel = max_parallel
        self.lease = lease
        self.retention = retention
        self.progress: dict[str, int] = {}
        self.stopping = False
        self.page_cursor = ""
        self.confirmed = 0
        self.postponed = 0

    @property
    def idle(self) -> bool:
        """Whether nothing is being delivered."""
        return not self.progress

    async def step(self, now: float) -> None:
        """Read a page of accepted uploads and deliver those that are due.

        Called periodically, also while an earlier step is still running; `now` is wall time in
        seconds.
        """
        free = self.max_parallel - len(self.progress)
        if self.stopping or free <= 0:
            return
        try:
            due = await self._list_due(now)
        except StoreUnavailable as error:
            log.debug("Cannot list uploads: %s.", error)
            return
        chosen = due[: self.max_parallel - len(self.progress)]
        for upload in chosen:
            self.progress[upload] = 0
        # A task group would cancel the other deliveries when one raises.
        tasks = [await curio.spawn(self.deliver, upload) for upload in chosen]
        for task in tasks:
            await task.wait()

    async def deliver(self, upload: str) -> None:
        """Make one delivery attempt for an upload if it is due."""
        self.progress[upload] = 0
        try:
            current = await self._claim(upload)
            if current is not None:
                await self._attempt(current)
        except (StoreUnavailable, UploadConflict) as error:
            log.info("Delivery of upload %s is postponed: %s.", upload, error)
        finally:
            self.progress.pop(upload, None)

    async def renew(self, current: VersionedManifest, digest: str) -> VersionedManifest:
        """Renew the lease if a third of it has passed or there is a new digest to record."""
        manifest = current.manifest
        stamp = self.uploads.new_stamp()
        if digest == manifest.digest and stamp.now < manifest.due - self.lease * 2 / 3:
            return current
        sent_bytes = self.progress.get(manifest.id, 0)
        return await self._update(
            current, renew_lease(manifest, self.lease, sent_bytes, digest, stamp)
        )

    def dump(self) -> dict:
        """Return the deliveries that are running here, and counts since the start."""
        return {
            "sent": dict(self.progress),
            "confirmed": self.confirmed,
            "postponed": self.postponed,
            "stopping": self.stopping,
        }

    async def _list_due(self, now: float) -> list[str]:
        rows = await self.uploads.table.list_entries(WORK_PREFIX, self.page_cursor, INDEX_PAGE_SIZE)
        self.page_cursor = rows[-1][0] if len(rows) == INDEX_PAGE_SIZE else ""
        due = [e.id for _, e in rows if self._is_due(e, now) and e.id not in self.progress]
        self.random.shuffle(due)
        return due

    def _is_due(self, entry: UploadEntry, now: float) -> bool:
        is_new = entry.state is UploadState.ACCEPTED and entry.attempts == 0
        return entry.due <= now or (is_new and entry.holder == self.uploads.vm_name)

    async def _claim(self, upload: str) -> VersionedManifest | None:
        current = await self.uploads.table.read(upload)
        stamp = self.uploads.new_stamp()
        if current is None or not is_claimable(current.manifest, self.uploads.vm_name, stamp.now):
            return None
        return await self._update(
            current, claim(current.manifest, self.uploads.vm_name, self.lease, stamp)
        )

    async def _attempt(self, current: VersionedManifest) -> None:
        manifest = current.manifest
        body = ChunkBody(self, current)
        try:
            if not manifest.digest:
                digest = await self.uploads.chunks.compute_digest(manifest, body.renew)
                body.current = await self.renew(body.current, digest)
            result = await self.send(body.current.manifest, body)
        except SequoiaError as error:
            result = DeliveryResult(DeliveryOutcome.RETRY, str(error))
        if result.outcome is DeliveryOutcome.CONFIRMED and not body.complete:
            result = DeliveryResult(
                DeliveryOutcome.RETRY, "the upstream answered before it had the whole body"
            )
        if result.outcome in (DeliveryOutcome.CONFIRMED, DeliveryOutcome.ALREADY_STORED):
            await self._confirm(manifest.id)
            return
        await self._record_failure(body.current, result)

    async def _confirm(self, upload: str) -> None:
        """Commit that an upload is delivered, whichever VM holds the lease, and delete its chunks.

        The first failed deletion leaves the rest to the clean-up.
        """
        while True:
            current = await self.uploads.table.read(upload, self.uploads.retry_timeout)
            if current is None or current.manifest.state is UploadState.DELIVERED:
                return
            change = mark_delivered(current.manifest, self.retention, self.uploads.new_stamp())
            try:
                await self._update(current, change)
                break
            except UploadConflict:
                continue
        self.confirmed += 1
        log.info("Delivered upload %s.", upload)
        for chunk in current.manifest.chunks:
            if not await self.uploads.chunks.discard(chunk_name(upload, chunk)):
                return

    async def _record_failure(self, current: VersionedManifest, result: DeliveryResult) -> None:
        self.postponed += 1
        manifest, stamp = current.manifest, self.uploads.new_stamp()
        log.warning("Delivery of upload %s failed: %s.", manifest.id, result.error)
        if result.outcome is DeliveryOutcome.CRASHED:
            await self._record_crash(current, result)
            return
        if result.outcome is DeliveryOutcome.REFUSED:
            change = mark_failed(manifest, result.error, stamp)
        else:
            delay = retry_delay(manifest.attempts, self.random)
            change = postpone(manifest, result.error, delay, stamp)
        await self._update(current, change)

    async def _record_crash(self, current: VersionedManifest, result: DeliveryResult) -> None:
        """Commit that an upstream crashed on it, whichever VM holds the lease."""
        uploads, upload = self.uploads, current.manifest.id
        while current is not None and current.manifest.state in DELIVERABLE_STATES:
            stamp, delay = uploads.new_stamp(), retry_delay(current.manifest.attempts, self.random)
            args = uploads.vm_name, result.upstream, result.error, delay, stamp
            try:
                await self._update(current, record_crash(current.manifest, *args))
                return
            except UploadConflict:
                current = await uploads.table.read(upload, uploads.retry_timeout)

    async def _update(self, current: VersionedManifest, manifest: Manifest) -> VersionedManifest:
        return await self.uploads.table.update(current, manifest, self.uploads.retry_timeout)
