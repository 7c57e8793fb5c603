"""Items exchanged between daemons, and the interface of the fleet to other components.

Items are `msgspec` structs, encoded as MessagePack by `fleet.wire`. For compatibility between
versions, unknown fields are ignored and unknown kinds of item are counted and dropped: add fields
with defaults, and never change the meaning of a field.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum

import msgspec


class Urgency(IntEnum):
    """Send priority of an item; the lowest value is sent first."""

    CONFIGURATION = 0
    DRAIN = 1
    CRASH = 2
    MEMBERSHIP = 3
    RETRY = 4
    LOAD = 5


class Item(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of the data that is disseminated through the fleet."""


class ConfigurationItem(Item, frozen=True, tag="configuration"):
    """A committed version of the fleet's configuration, with its encoded change.

    `change` is empty for a large change, which is not disseminated. A VM that cannot read it from
    the table fetches the compressed form, `packed`, from a peer; see `fleet.packing`.
    """

    version: int
    change: bytes
    packed: bytes = b""


class DrainItem(Item, frozen=True, tag="drain"):
    """An `incarnation` of an upstream is draining or, if not `leaving`, accepts calls again."""

    upstream: str
    incarnation: int
    leaving: bool = True


class CrashItem(Item, frozen=True, tag="crash"):
    """A request with `fingerprint` was running on `upstream` when it crashed, as seen by one VM.

    With `released`, the fingerprint may run again: an operator released it, or a VM received a
    complete answer to such a request. `at` is the wall time of the event.
    """

    fingerprint: str
    upstream: str
    at: float
    released: bool = False


class RetryItem(Item, frozen=True, tag="retry"):
    """Number of a VM's retries and successes for a service in its last counting period."""

    vm: str
    service: str
    period: int
    retries: int
    successes: int


class LoadItem(Item, frozen=True, tag="load"):
    """One VM's measurements of an upstream.

    `in_flight` is the number of running requests in the last load report, `latency_us` the mean
    latency, and `suspect` whether it is suspected to have failed. `age_ms` is the age of the
    load report when the item was created.
    """

    upstream: str
    in_flight: int
    latency_us: int
    suspect: bool
    age_ms: int


AnyItem = ConfigurationItem | DrainItem | CrashItem | RetryItem | LoadItem


class MemberState(IntEnum):
    """State of a VM in the membership list of a daemon."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class MemberView:
    """Entry of a VM in the membership list; times are on the local clock."""

    __slots__ = ("name", "address", "data_centre", "incarnation", "state", "since", "version")

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        incarnation: int,
        state: MemberState,
        since: float,
        version: int = 0,
    ):
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.state = state
        self.since = since
        self.version = version


class Fleet(ABC):
    """Interface of the fleet to the other components of a daemon."""

    @abstractmethod
    def publish(self, item: AnyItem, urgency: Urgency) -> None:
        """Queue an item for dissemination, subject to the byte bucket; never blocks.

        The item replaces a queued item on the same subject.
        """

    @abstractmethod
    def subscribe(self, kind: type[Item], callback: Callable[[AnyItem, str], None]) -> None:
        """Call `callback(item, sender)` for each new item of `kind` received from another VM."""

    @abstractmethod
    def members(self) -> list[MemberView]:
        """Return all known VMs, this VM first."""

    @abstractmethod
    def live_count(self) -> int:
        """Return the number of live VMs, including this one; at least 1."""
