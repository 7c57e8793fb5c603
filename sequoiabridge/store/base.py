"""Interfaces of the platform's services: table service, object store and VM list.

`platform.services` implements them over HTTP; `tests.platform.service` and
`tests.standins.memory` implement them for tests. All methods return a `Result` of `expression`:
`Ok` with the answer, or `Error` with a `StoreError` whose kind says whether a write may have taken
effect.
"""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result


class StoreErrorKind(Enum):
    """What is known about the effect of a failed call."""

    CONDITION_FAILED = "condition-failed"
    """The store answered that a condition did not hold. Nothing was written."""
    NOT_SENT = "not-sent"
    """Nothing was sent, so nothing was written."""
    UNKNOWN = "unknown"
    """The call was sent but not answered. It may have taken effect or may still do so."""
    REJECTED = "rejected"
    """The store rejected the call (rate, size, bad request). Nothing was written."""


class StoreError:
    """Why a call to the platform failed. `message` states what to do about it."""

    __slots__ = ("kind", "message")

    def __init__(self, kind: StoreErrorKind, message: str):
        self.kind = kind
        self.message = message

    def __repr__(self) -> str:
        return f"StoreError({self.kind.value}: {self.message})"


class Row(msgspec.Struct, frozen=True):
    """One row. The service sets `version` and increments it with each write of the key."""

    table: str
    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Holds if the row's version is `version`; 0 means that the row does not exist."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row to `value`, or deletes it when `value` is None."""

    table: str
    key: str
    value: bytes | None


class TableService(ABC):
    """Rows in named tables, changed by conditional transactions over several rows."""

    @abstractmethod
    async def transact(
        self, conditions: list[Condition], writes: list[Write], timeout: float
    ) -> Result[None, StoreError]:
        """Make all writes if all conditions hold, otherwise none, within `timeout` seconds."""

    @abstractmethod
    async def read(self, table: str, key: str, timeout: float) -> Result[Row | None, StoreError]:
        """Return the row as last committed, or None if there is none."""

    @abstractmethod
    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[Row], StoreError]:
        """Return up to `limit` rows whose key starts with `prefix` and sorts after `after`."""


class ObjectStore(ABC):
    """Immutable named objects. Each name is written at most once."""

    @abstractmethod
    async def put(self, name: str, data: bytes, timeout: float) -> Result[None, StoreError]:
        """Store an object. The error is `CONDITION_FAILED` if the name exists."""

    @abstractmethod
    async def get(self, name: str, timeout: float) -> Result[bytes | None, StoreError]:
        """Return the object, or None if there is none of that name."""

    @abstractmethod
    async def delete(self, name: str, timeout: float) -> Result[None, StoreError]:
        """Delete the object. It is not an error if there is none."""

    @abstractmethod
    async def names(
        self, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[str], StoreError]:
        """Return up to `limit` names that start with `prefix` and sort after `after`, in order."""


class ListedVm(msgspec.Struct, frozen=True):
    """One entry of the platform's VM list."""

    name: str
    address: str
    data_centre: str
    leaving: bool = False


class VmList(ABC):
    """The platform's list of live and leaving VMs. It lags and may be wrong."""

    @abstractmethod
    async def vms(self, timeout: float) -> Result[list[ListedVm], StoreError]:
        """Return the current list of the platform."""
