"""A small world for tests of uploads: gated stores, an upstream, callers' bodies.

Every call to a store, an upstream or a body pauses before and after its effect. A test drives a
coroutine from pause to pause: dropping it there is a killed VM, leaving it there a paused one.
"""

import hashlib
import types
from itertools import count
from random import Random

import curio
import msgspec
from curio.meta import curio_running

from ...exceptions import CallerGone, UpstreamFailed
from ...pipeline.exchange import Body
from ...store.base import ObjectStore, TableService
from ...store.upload_delivery import DeliveryOutcome, DeliveryResult, UploadDeliverer
from ...store.upload_index import MANIFEST_TABLE, chunk_name
from ...store.upload_manifest import Manifest, UploadState
from ...store.upload_orphans import UploadCleaner
from ...store.upload_writer import IncomingUpload
from ...store.uploads import Uploads
from ...timers import ManualClock
from .memory import MemoryObjects, MemoryTables

CHUNK = 4
LEASE = 30.0


@types.coroutine
def _yield():
    yield


async def pause():
    """Let the test go on; in a curio kernel, let other tasks run."""
    await (curio.sleep(0) if curio_running() else _yield())


def finish(coroutine):
    """Drive a coroutine to its end and return its result."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as end:
            return end.value


def killed_after(coroutine, steps: int) -> bool:
    """Drive a coroutine over `steps` pauses and drop it; false if it ended before."""
    try:
        for _ in range(steps):
            coroutine.send(None)
    except StopIteration:
        return False
    coroutine.close()
    return True


class Gate:
    """Passes calls on to a stand-in, with a pause before and after each effect."""

    def __init__(self, inner):
        self.inner = inner

    async def passed(self, name, args):
        await pause()
        result = await getattr(self.inner, name)(*args)
        await pause()
        return result


class GatedTables(Gate, TableService):
    async def transact(self, *args):
        return await self.passed("transact", args)

    async def read(self, *args):
        return await self.passed("read", args)

    async def scan(self, *args):
        return await self.passed("scan", args)


class GatedObjects(Gate, ObjectStore):
    async def put(self, *args):
        return await self.passed("put", args)

    async def get(self, *args):
        return await self.passed("get", args)

    async def delete(self, *args):
        return await self.passed("delete", args)

    async def names(self, *args):
        return await self.passed("names", args)


class Bytes(Body):
    """A caller's body in pieces; cut short after `cut` bytes if given."""

    def __init__(self, data: bytes, cut: int | None = None, piece: int = 3):
        self.data = data if cut is None else data[:cut]
        self.cut = cut
        self.piece = piece

    async def read(self):
        await pause()
        if not self.data and self.cut is not None:
            raise CallerGone("gone")
        part, self.data = self.data[: self.piece], self.data[self.piece :]
        return part


class Upstream:
    """Keeps each upload once by id and digest; whole ones only. Its record is the oracle's."""

    def __init__(self):
        self.kept: dict[str, bytes] = {}
        self.down = False
        self.lose_answers = 0
        self.refuses = False

    async def send(self, manifest: Manifest, body: Body) -> DeliveryResult:
        await pause()
        if self.down:
            raise UpstreamFailed("connection refused", sent=False)
        data = b""
        while part := await body.read():
            await pause()
            data += part
        if hashlib.sha256(data).hexdigest() != manifest.digest:
            raise AssertionError("a whole body with another digest")
        if self.refuses:
            return DeliveryResult(DeliveryOutcome.REFUSED, "refused")
        assert self.kept.setdefault(manifest.id, data) == data, "two contents under one id"
        await pause()
        if self.lose_answers:
            self.lose_answers -= 1
            raise UpstreamFailed("no answer", sent=True)
        return DeliveryResult(DeliveryOutcome.CONFIRMED)


class World:
    """The platform, one upstream and as many VMs as a test asks for."""

    def __init__(self):
        self.clock = ManualClock()
        self.tables = MemoryTables(sleep=self.sleep)
        self.objects = MemoryObjects(sleep=self.sleep)
        self.upstream = Upstream()
        self.numbers = count()

    async def sleep(self, seconds: float) -> None:
        self.clock.advance(seconds)
        await pause()

    def vm(self, name: str, **options) -> Uploads:
        settings = {"chunk_size": CHUNK, "chunks_per_commit": 2, **options}
        return Uploads(
            GatedTables(self.tables),
            GatedObjects(self.objects),
            self.clock,
            name,
            new_token=lambda: f"{name}x{next(self.numbers)}",
            sleep=self.sleep,
            **settings,
        )

    def deliveries(self, vm: Uploads) -> UploadDeliverer:
        return UploadDeliverer(vm, self.upstream.send, self.clock, random=Random(1), lease=LEASE)

    def orphans(self, vm: Uploads, **options) -> UploadCleaner:
        return UploadCleaner(vm, **options)

    def manifests(self) -> list[Manifest]:
        rows = [row for (table, _), row in self.tables.rows.items() if table == MANIFEST_TABLE]
        return [msgspec.msgpack.decode(row.value, type=Manifest) for row in rows]

    def stored(self, manifest: Manifest) -> bytes:
        """The content that a manifest names, as the object store has it now."""
        names = [chunk_name(manifest.id, chunk) for chunk in manifest.chunks]
        return b"".join(self.objects.objects.get(name, b"?") for name in names)

    def check(self, contents: dict[str, bytes]) -> None:
        """The oracle at any moment: all accepted content is there, nothing half is kept."""
        for manifest in self.manifests():
            if manifest.state in (UploadState.ACCEPTED, UploadState.DELIVERING, UploadState.FAILED):
                assert self.stored(manifest) == contents[manifest.id]
            if manifest.state is UploadState.DELIVERED:
                assert self.upstream.kept[manifest.id] == contents[manifest.id]
        for upload, data in self.upstream.kept.items():
            assert data == contents[upload]

    def recover(self) -> None:
        """All faults end; a new VM delivers what is due and cleans up."""
        self.upstream.down = self.upstream.refuses = False
        self.upstream.lose_answers = 0
        vm = self.vm("new")
        self.clock.advance(1000.0)
        for manifest in self.manifests():
            finish(self.deliveries(vm).deliver(manifest.id))


def incoming(data: bytes, cut=None, **options) -> IncomingUpload:
    """A request of one caller to one target; `data` is the body, cut short at `cut`."""
    length = options.pop("length", len(data))
    body = Bytes(data, cut)
    return IncomingUpload("lataus", "uni", b"POST", b"/ledger", [], body, length, **options)
