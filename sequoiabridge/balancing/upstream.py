"""One upstream: what the platform says of it, and what this VM has seen of it."""

from __future__ import annotations

from .upstream_stats import UpstreamStats


class UpstreamRecord:
    """An entry of the platform's list of upstreams, decoded.

    Attributes:
        id: Names the upstream; it may start again under the same id.
        address: "IP:port". Another upstream may get it later.
        draining: It takes no new work.
        cold_for: Seconds for which it is still slow after its start.
        version: Version of its software.
        born: Unix millisecond of its start, which tells its lifetimes apart; None if unsaid.
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
    """One lifetime of an upstream that this VM knows of.

    Attributes:
        record: The platform's last word.
        evidence: What this VM has seen of it.
        near: It is in this VM's data centre.
        warm_at: When it stops being slow after its start, in seconds on the daemon's clock.
        replaced: Its address has gone to another upstream.
        leaves_at: When it is to be forgotten, since its entry has lapsed; None while listed.
        is_over: It has started again: nothing that was sent to this lifetime will be answered.
    """

    __slots__ = ("record", "stats", "is_local", "warm_at", "replaced", "forget_at", "has_restarted")

    def __init__(self, record: UpstreamRecord, is_local: bool, now: float):
        self.stats = UpstreamStats()
        self.is_local = is_local
        self.replaced = False
        self.has_restarted = False
        self.update_record(record, now)

    @property
    def id(self) -> str:
        """Return its id."""
        return self.record.id

    @property
    def address(self) -> str:
        """Return its address."""
        return self.record.address

    @property
    def lifetime(self) -> str:
        """Return a name that no other lifetime of any upstream has."""
        return lifetime_name(self.record.id, self.record.born)

    @property
    def accepts_calls(self) -> bool:
        """Return whether it may get new calls."""
        return not (self.record.draining or self.replaced or self.has_restarted)

    def update_record(self, record: UpstreamRecord, now: float) -> None:
        """Take in the platform's latest entry."""
        self.record = record
        self.warm_at = now + record.cold_seconds
        self.forget_at: float | None = None


def lifetime_name(id: str, born: int | None) -> str:
    """Return the name of the lifetime of an upstream that began at `born`."""
    return id if born is None else f"{id}@{born}"
