"""The platform's services as the daemon sees them: table service, object store, VM list.

Each is an abstract base class; `platform.services` has the adapters, `tests.platform.service`
and `tests.standins.memory` the stand-ins. All calls return a `Result` of `expression`: `Ok` with
the answer or `Error` with a `StoreError`, whose kind says whether the write may have taken effect.
"""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result


class StoreErrorKind(Enum):
    """What is known after a call that gave no good answer."""

    CONDITION_FAILED = "condition-failed"
    """Answered: a condition did not hold, and nothing was written."""
    NOT_SENT = "not-sent"
    """Nothing left this VM, so nothing was written."""
    UNKNOWN = "unknown"
    """Sent, but no answer came: it may have taken effect now or take effect later."""
    REJECTED = "rejected"
    """Answered: refused (rate, size, bad request), and nothing was written."""


class StoreError:
    """Why a call to the platform failed; `message` names the remedy."""

    __slots__ = ("kind", "message")

    def __init__(self, kind: StoreErrorKind, message: str):
        self.kind = kind
        self.message = message

    def __repr__(self) -> str:
        return f"StoreError({self.kind.value}: {self.message})"


class Row(msgspec.Struct, frozen=True):
    """One row: `version` counts up with each write of this key and is given by the service."""

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
        """Make all writes if all conditions hold, else none; at most `timeout` seconds."""

    @abstractmethod
    async def read(self, table: str, key: str, timeout: float) -> Result[Row | None, StoreError]:
        """Return the row as last committed, or None if there is none."""

    @abstractmethod
    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[Row], StoreError]:
        """Return up to `limit` rows by key whose key starts with `prefix` and is over `after`."""


class ObjectStore(ABC):
    """Immutable named objects; a name is written at most once."""

    @abstractmethod
    async def put(self, name: str, data: bytes, timeout: float) -> Result[None, StoreError]:
        """Store an object; `CONDITION_FAILED` if the name is taken."""

    @abstractmethod
    async def get(self, name: str, timeout: float) -> Result[bytes | None, StoreError]:
        """Return the object, or None if there is none of that name."""

    @abstractmethod
    async def delete(self, name: str, timeout: float) -> Result[None, StoreError]:
        """Remove the object; fine if there is none."""

    @abstractmethod
    async def names(
        self, prefix: str, after: str, limit: int, timeout: float
    ) -> Result[list[str], StoreError]:
        """Return up to `limit` names in order that start with `prefix` and are over `after`."""


class ListedVm(msgspec.Struct, frozen=True):
    """One entry of the platform's VM list."""

    name: str
    address: str
    data_centre: str
    leaving: bool = False


class VmList(ABC):
    """The platform's lagging list of live and leaving VMs: a hint, never the truth."""

    @abstractmethod
    async def vms(self, timeout: float) -> Result[list[ListedVm], StoreError]:
        """Return the list as the platform knows it now."""
