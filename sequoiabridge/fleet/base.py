"""What daemons tell each other, and how parts of a daemon take part in it.

Messages are `msgspec` structs, encoded as MessagePack by `fleet.wire`. Unknown fields are ignored
and unknown kinds of item are counted and dropped, so that an older daemon meets a newer one
without harm: add fields with defaults, never change the meaning of one.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum

import msgspec


class Urgency(IntEnum):
    """Order in which items are paid from the daemon's byte bucket; the lowest goes first."""

    CONFIGURATION = 0
    DRAIN = 1
    CRASH = 2
    MEMBERSHIP = 3
    RETRY = 4
    LOAD = 5


class Item(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of everything that is spread through the fleet."""


class ConfigurationItem(Item, frozen=True, tag="configuration"):
    """Version `version` of the fleet's configuration is committed; `change` is its encoding.

    A large change is not spread: `change` is empty then. A VM that can't read the table fetches it
    as `packed`, compressed; see `fleet.packing`.
    """

    version: int
    change: bytes
    packed: bytes = b""


class DrainItem(Item, frozen=True, tag="drain"):
    """An upstream is leaving (or back, if not `leaving`), by its own `incarnation`."""

    upstream: str
    incarnation: int
    leaving: bool = True


class CrashItem(Item, frozen=True, tag="crash"):
    """A request with `fingerprint` was with `upstream` when that crashed, seen by one VM.

    `released` marks the word that the fingerprint may run again: an operator's, or that of a VM
    which saw such a request answered whole. `at` is the wall time of the event.
    """

    fingerprint: str
    upstream: str
    at: float
    released: bool = False


class RetryItem(Item, frozen=True, tag="retry"):
    """One VM's retries and successes of a service in its last counting period."""

    vm: str
    service: str
    period: int
    retries: int
    successes: int


class LoadItem(Item, frozen=True, tag="load"):
    """One VM's evidence on an upstream: work in flight as last reported, mean time, failures.

    `age_ms` is the report's age when the item was made.
    """

    upstream: str
    in_flight: int
    latency_us: int
    suspect: bool
    age_ms: int


AnyItem = ConfigurationItem | DrainItem | CrashItem | RetryItem | LoadItem


class MemberState(IntEnum):
    """What a daemon believes of another VM."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class MemberView:
    """Another VM as this one knows it; times on this daemon's clock."""

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
    """The fleet as the other parts of a daemon see it."""

    @abstractmethod
    def publish(self, item: AnyItem, urgency: Urgency) -> None:
        """Spread an item through the fleet as the byte bucket allows; never blocks.

        A newer item about the same thing takes the place of one that still waits.
        """

    @abstractmethod
    def subscribe(self, kind: type[Item], callback: Callable[[AnyItem, str], None]) -> None:
        """Call `callback(item, sender)` for each new item of `kind` heard from another VM."""

    @abstractmethod
    def members(self) -> list[MemberView]:
        """Return this VM first, then all others known."""

    @abstractmethod
    def live_count(self) -> int:
        """Return how many VMs share the load now, this one included; at least 1."""
