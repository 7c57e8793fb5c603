"""Adapters of the platform's store that return results instead of raising errors.

`daemon.Daemon` uses them through the interfaces of `store.base`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import quote, urlencode

import curio
import msgspec
from expression import Error, Ok, Result

from ..config.units import split_address
from ..exceptions import BadEntry, ConditionFailed, StoreRefused, StoreUnavailable
from ..logs import get_log
from ..store import rows as stored
from ..store.base import (
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
from ..timers import Clock
from ..untrusted_json import as_list, as_object, parse_json
from .client import PlatformClient, checked_body

log = get_log("store")

VM_TABLE = "vms"
"""The table that lists VMs, by name."""

PART = ""
"""Part of a table that holds all rows, so that one transaction may cover any of them."""

ONLY_IF_ABSENT = (b"if-none-match", b"*")
"""Header that makes a write fail if the object exists."""

CLIENT_TIMEOUT = 60.0
"""Timeout of the client in seconds; each method has a shorter one."""

MAX_KEY = "\U0010ffff"
"""Sorts after every character of a key."""

VM_DECODER = msgspec.json.Decoder(ListedVm)


async def call_store(
    call: Callable[[], Awaitable], convert: Callable[[object], object], timeout: float
) -> Result:
    """Make a call within `timeout` seconds; return its converted result or the error.

    A failed condition or a refusal proves that nothing was written. Without an answer, a write may
    have been applied as soon as one byte was sent.
    """
    try:
        return Ok(convert(await curio.timeout_after(timeout, call)))
    except ConditionFailed as error:
        return Error(StoreError(StoreErrorKind.CONDITION_FAILED, str(error)))
    except StoreRefused as error:
        return Error(StoreError(StoreErrorKind.REJECTED, str(error)))
    except StoreUnavailable as error:
        kind = StoreErrorKind.UNKNOWN if error.sent else StoreErrorKind.NOT_SENT
        return Error(StoreError(kind, str(error)))
    except BadEntry as error:
        text = f"the store's answer is not valid: {error}"
        return Error(StoreError(StoreErrorKind.UNKNOWN, text))
    except curio.TaskTimeout:
        text = f"the store did not answer within {timeout:.1f} s; read back what was written"
        return Error(StoreError(StoreErrorKind.UNKNOWN, text))


def discard(_answer: object) -> None:
    """Ignore an answer without content."""


class PlatformTables(TableService):
    """The table service."""

    def __init__(self, address: str, clock: Clock):
        self.client = PlatformClient(address, clock, call_timeout=CLIENT_TIMEOUT)

    async def transact(
        self, conditions: list[Condition], writes: list[Write], timeout: float
    ) -> Result[None, StoreError]:
        store_conditions = [stored.Condition(c.table, PART, c.key, c.version) for c in conditions]
        store_writes = [stored.Write(w.table, PART, w.key, w.value) for w in writes]
        return await call_store(
            lambda: self.client.transact(store_conditions, store_writes), discard, timeout
        )

    async def read(self, table: str, key: str, timeout: float) -> Result[Row | None, StoreError]:
        def first_row(result: stored.Rows) -> Row | None:
            return to_row(result.rows[0]) if result.rows else None

        end = key + "\0"
        return await call_store(
            lambda: self.client.rows(table, PART, key, end, limit=1), first_row, timeout
        )

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[Row], StoreError]:
        def to_rows(result: stored.Rows) -> list[Row]:
            return [to_row(row) for row in result.rows]

        start = max(prefix, after + "\0") if after else prefix
        end = prefix + MAX_KEY if prefix else ""
        return await call_store(
            lambda: self.client.rows(table, PART, start, end, limit=limit), to_rows, timeout
        )


class PlatformObjects(ObjectStore):
    """The object store; a name is one path segment."""

    def __init__(self, address: str, clock: Clock):
        self.client = PlatformClient(address, clock, call_timeout=CLIENT_TIMEOUT)

    async def put(self, name: str, data: bytes, timeout: float) -> Result[None, StoreError]:
        return await call_store(
            lambda: self._call(b"PUT", "/blob-put/", name, data, (ONLY_IF_ABSENT,)),
            discard,
            timeout,
        )

    async def get(self, name: str, timeout: float) -> Result[bytes | None, StoreError]:
        return await call_store(lambda: self._call(b"GET", "/blob-get/", name), identity, timeout)

    async def delete(self, name: str, timeout: float) -> Result[None, StoreError]:
        return await call_store(
            lambda: self._call(b"DELETE", "/blob-drop/", name), discard, timeout
        )

    async def names(
        self, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[str], StoreError]:
        query = urlencode({"prefix": prefix, "after": after})

        def to_names(data: bytes | None) -> list[str]:
            page = as_object(parse_json(data or b"{}"), "the answer")
            return as_list(page.get("names", []), "names")[:limit]

        return await call_store(
            lambda: self._call(b"GET", f"/blob-list?{query}", ""), to_names, timeout
        )

    async def _call(
        self, method: bytes, path: str, name: str, data: bytes = b"", headers: tuple = ()
    ) -> bytes | None:
        """Return an answer's body, or None if there is no such object."""
        target = (path + quote(name, safe="")).encode()
        answer = await self.client.exchange(method, target, data, headers)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return checked_body(answer)


class PlatformVmList(VmList):
    """The list of VMs, a table of the store.

    Attributes:
        rejected: Values of the rows that could not be used, by key.
    """

    def __init__(self, address: str, clock: Clock):
        self.client = PlatformClient(address, clock, call_timeout=CLIENT_TIMEOUT)
        self.rejected: dict[str, bytes | None] = {}

    async def vms(self, timeout: float) -> Result[list[ListedVm], StoreError]:
        return await call_store(lambda: self.client.rows(VM_TABLE), self._to_vms, timeout)

    def _to_vms(self, result: stored.Rows) -> list[ListedVm]:
        """Return the VMs of all rows that can be used."""
        vms = [self._to_vm(row) for row in result.rows]
        return [vm for vm in vms if vm is not None]

    def _to_vm(self, row: stored.StoredRow) -> ListedVm | None:
        """Return the VM of a row; None, with one log line for each value, if it has none."""
        try:
            vm = VM_DECODER.decode(row.value or b"")
            split_address(vm.address)
            return vm
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            if self.rejected.get(row.key) != row.value:
                self.rejected[row.key] = row.value
                log.warning("Row %r of the list of VMs cannot be used: %s.", row.key, error)
            return None


def to_row(row: stored.StoredRow) -> Row:
    """Convert a stored row to the type of `store.base`."""
    return Row(row.table, row.key, row.value, row.version)


def identity(data: bytes | None) -> bytes | None:
    """Return an object's bytes unchanged."""
    return data
