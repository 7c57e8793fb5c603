"""An upstream: its entry in the platform's list and the statistics of this VM."""

from __future__ import annotations

from .departure import Departure
from .exclusion import Exclusion
from .upstream_stats import UpstreamStats


class UpstreamRecord:
    """A decoded entry of the platform's list of upstreams.

    Attributes:
        id: Id of the upstream; kept across restarts.
        service: Name of its service.
        address: "IP:port"; may be assigned to another upstream later.
        data_centre: Name of its data centre.
        slots: Maximum number of requests that it processes concurrently.
        draining: Whether it accepts no new calls.
        cold_seconds: Seconds for which it remains slow after its start.
        version: Version of its software.
        born: Start time in Unix milliseconds, which distinguishes its lifetimes; None if unknown.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "data_centre",
        "slots",
        "draining",
        "cold_seconds",
        "version",
        "born",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        draining: bool,
        cold_seconds: float,
        version: str,
        born: int | None = None,
    ):
        self.id = id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.draining = draining
        self.cold_seconds = cold_seconds
        self.version = version
        self.born = born


class Upstream:
    """One lifetime of an upstream, from a start to the next restart.

    Times are in seconds on the daemon's clock.

    Attributes:
        record: The latest entry of the platform's list.
        stats: The statistics of this VM.
        is_local: Whether the upstream is in this VM's data centre.
        warm_at: Time at which it stops being slow after its start.
        replaced: Whether its address has been assigned to another upstream.
        forget_at: Time at which it is removed because its entry has lapsed; None while listed.
        departure: Whether it has said that it leaves.
        has_restarted: Whether it has restarted; calls sent to this lifetime will not be answered.
    """

    __slots__ = (
        "record",
        "stats",
        "is_local",
        "warm_at",
        "replaced",
        "forget_at",
        "departure",
        "has_restarted",
    )

    def __init__(self, record: UpstreamRecord, is_local: bool, now: float):
        self.stats = UpstreamStats()
        self.departure = Departure()
        self.is_local = is_local
        self.replaced = False
        self.has_restarted = False
        self.update_record(record, now)

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.record.id

    @property
    def address(self) -> str:
        """Return the upstream's address."""
        return self.record.address

    @property
    def lifetime(self) -> str:
        """Return the unique name of this lifetime."""
        return lifetime_name(self.record.id, self.record.born)

    @property
    def accepts_calls(self) -> bool:
        """Return whether the upstream accepts new calls of any VM."""
        return self.exclusion is None

    @property
    def exclusion(self) -> Exclusion | None:
        """Return why the upstream accepts no new calls of any VM, None if it does."""
        if self.has_restarted:
            return Exclusion.RESTARTED
        if self.replaced:
            return Exclusion.REPLACED
        if self.record.draining:
            return Exclusion.DRAINING
        return Exclusion.LEAVING if self.departure.since is not None else None

    @property
    def has_said_anything(self) -> bool:
        """Return whether it has asked for rest, said that it leaves, or named a limit."""
        has_limit = self.stats.request_limit.rate is not None
        return has_limit or self.departure.since is not None or self.stats.rest.count > 0

    def resume(self, earlier: Upstream) -> None:
        """Take over what this lifetime said before its entry was gone for some time."""
        self.departure = earlier.departure
        self.stats.rest = earlier.stats.rest
        self.stats.request_limit = earlier.stats.request_limit

    def update_record(self, record: UpstreamRecord, now: float) -> None:
        """Apply the latest entry of the platform's list."""
        self.record = record
        self.warm_at = now + record.cold_seconds
        self.forget_at: float | None = None


def lifetime_name(id: str, born: int | None) -> str:
    """Return the name of the lifetime of an upstream that started at `born`."""
    return id if born is None else f"{id}@{born}"
