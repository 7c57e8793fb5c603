"""HTTP adapters of the platform's services: JSON for rows and lists, plain bytes for objects."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import quote, urlencode

import msgspec
from expression import Error, Ok, Result

from ..timers import Clock
from .base import (
    Condition,
    ListedVm,
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    VmList,
    Write,
)
from .http_connection import PlatformClient, Reply


class TransactBody(msgspec.Struct):
    """Body of `POST /tables/transact`."""

    conditions: list[Condition]
    writes: list[Write]


class ReadBody(msgspec.Struct):
    """Body of `POST /tables/read`."""

    table: str
    key: str


class ScanBody(msgspec.Struct):
    """Body of `POST /tables/scan`."""

    table: str
    prefix: str
    after: str
    limit: int


ENCODER = msgspec.json.Encoder()
ROW = msgspec.json.Decoder(Row | None)
ROWS = msgspec.json.Decoder(list[Row])
NAMES = msgspec.json.Decoder(list[str])
VMS = msgspec.json.Decoder(list[ListedVm])


def refusal(status: int) -> Result:
    """Return the error for an answer that is not a success.

    A conflict or a refused request is proof that nothing was written; a fault inside the
    platform (5xx) proves nothing.
    """
    if status in (HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED):
        text = "a condition did not hold; read the row and decide again"
        return Error(StoreError(StoreErrorKind.CONDITION_FAILED, text))
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        text = "the platform is over its rate; lower fleet_writes or fleet_reads in [platform]"
        return Error(StoreError(StoreErrorKind.REJECTED, text))
    if 400 <= status < 500 and status != HTTPStatus.REQUEST_TIMEOUT:
        text = f"the platform refused the request with {status}; check its size and the address"
        return Error(StoreError(StoreErrorKind.REJECTED, text))
    text = f"the platform answered {status}; read back what was written"
    return Error(StoreError(StoreErrorKind.UNKNOWN, text))


def decoded(reply: Reply, decode: Callable[[bytes], object]) -> Result:
    """Return the decoded body of a success, else the error that the answer stands for."""
    if reply.status != HTTPStatus.OK:
        return refusal(reply.status)
    try:
        return Ok(decode(reply.body))
    except msgspec.DecodeError as error:
        text = f"the platform's answer is not understood ({error}); check the address"
        return Error(StoreError(StoreErrorKind.UNKNOWN, text))


def nothing(_body: bytes) -> None:
    """Decode an answer whose body says nothing."""


class HttpTables(TableService):
    """The table service over HTTP."""

    def __init__(self, address: str, clock: Clock):
        self.client = PlatformClient(address, clock)

    async def transact(
        self, conditions: list[Condition], writes: list[Write], timeout: float
    ) -> Result[None, StoreError]:
        body = ENCODER.encode(TransactBody(conditions, writes))
        reply = await self.client.call("POST", "/tables/transact", body, timeout)
        return reply.bind(lambda r: decoded(r, nothing))

    async def read(self, table: str, key: str, timeout: float) -> Result[Row | None, StoreError]:
        body = ENCODER.encode(ReadBody(table, key))
        reply = await self.client.call("POST", "/tables/read", body, timeout)
        return reply.bind(lambda r: decoded(r, ROW.decode))

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[Row], StoreError]:
        body = ENCODER.encode(ScanBody(table, prefix, after, limit))
        reply = await self.client.call("POST", "/tables/scan", body, timeout)
        return reply.bind(lambda r: decoded(r, ROWS.decode))


class HttpObjects(ObjectStore):
    """The object store over HTTP; a name is one path segment."""

    def __init__(self, address: str, clock: Clock):
        self.client = PlatformClient(address, clock)

    async def put(self, name: str, data: bytes, timeout: float) -> Result[None, StoreError]:
        reply = await self.client.call("PUT", self._target(name), data, timeout)
        return reply.bind(lambda r: decoded(r, nothing))

    async def get(self, name: str, timeout: float) -> Result[bytes | None, StoreError]:
        reply = await self.client.call("GET", self._target(name), b"", timeout)
        return reply.bind(self._found)

    async def delete(self, name: str, timeout: float) -> Result[None, StoreError]:
        reply = await self.client.call("DELETE", self._target(name), b"", timeout)
        return reply.bind(lambda r: decoded(r, nothing))

    async def names(
        self, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[str], StoreError]:
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        reply = await self.client.call("GET", f"/objects?{query}", b"", timeout)
        return reply.bind(lambda r: decoded(r, NAMES.decode))

    def _target(self, name: str) -> str:
        return "/objects/" + quote(name, safe="")

    def _found(self, reply: Reply) -> Result:
        return Ok(None) if reply.status == HTTPStatus.NOT_FOUND else decoded(reply, bytes)


class HttpVmList(VmList):
    """The VM list over HTTP."""

    def __init__(self, address: str, clock: Clock):
        self.client = PlatformClient(address, clock)

    async def vms(self, timeout: float) -> Result[list[ListedVm], StoreError]:
        reply = await self.client.call("GET", "/vms", b"", timeout)
        return reply.bind(lambda r: decoded(r, VMS.decode))
