"""The upstreams that the platform lists, by service."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from ..balancing.candidates import UpstreamSource
from ..balancing.upstream import Upstream, UpstreamRecord
from ..component import Component
from ..logs import get_log
from ..timers import Clock
from .decisions import DecisionLog

log = get_log("upstreams")

MASS_LAPSE_SHARE = 0.3
"""Share of all upstreams that must be missing at once to count as lapsed. Upstreams leave one by
one, but their entries expire together while the platform is unavailable."""

MASS_LAPSE_MIN_COUNT = 4
"""Minimum number of upstreams that must be missing at once to count as lapsed. Two or three may
well leave at once."""

MASS_LAPSE_WINDOW = 1.0
"""Seconds within which entries count as missing at once."""

LAPSE_GRACE = 2.0
"""Seconds for which an upstream with a lapsed entry is kept; live ones are listed again meanwhile.
The platform lists live ones again within about 2 s of its return, and those that have left must get
no calls soon after."""

MAX_REMOVED = 2000
"""Maximum number of removed upstreams that are remembered, to ignore late entries of theirs. The
largest known deployments remove some hundreds a day."""


class RemovedUpstream:
    """What is remembered of a removed upstream.

    Attributes:
        born: Its start time.
        said: The upstream, if it had said anything that still holds when its entry comes back.
    """

    __slots__ = ("born", "said")

    def __init__(self, born: int, said: Upstream | None):
        self.born = born
        self.said = said


class UpstreamList(Component, UpstreamSource):
    """All upstreams, by id and by service.

    Args:
        data_centre: Data centre of this VM.
        on_retire: Called with an upstream that gets no more calls.

    Attributes:
        version: The platform's version of the list, None before the first.
        generation: Number of changes to the upstreams that may get calls.
        lapse_window_end: Missing entries count as lapsed until then, in seconds on the clock.
        recently_missing: Times and ids of the latest missing entries of configured services.
        lapsed: Upstreams whose entries have lapsed.
        removed: The removed upstreams, by id.
        configured_services: Services that the configuration names, None before it is known.
        configured_count: Number of upstreams of these services.
    """

    name = "upstreams"

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        decisions: DecisionLog,
        on_retire: Callable[[Upstream], None],
    ):
        self.data_centre = data_centre
        self.clock = clock
        self.decisions = decisions
        self.on_retire = on_retire
        self.version: int | None = None
        self.generation = 0
        self.by_id: dict[str, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        self.lapse_window_end = 0.0
        self.recently_missing: list[tuple[float, str]] = []
        self.lapsed: list[Upstream] = []
        self.removed: OrderedDict[str, RemovedUpstream] = OrderedDict()
        self.configured_services: frozenset[str] | None = None
        self.configured_count = 0

    @property
    def is_loaded(self) -> bool:
        """Return whether the platform's list has been read."""
        return self.version is not None

    def for_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get calls."""
        known = self.by_service.get(service, [])
        if not self.lapsed:
            return known
        now = self.clock.now()
        return [u for u in known if u.forget_at is None or now < u.forget_at]

    def slots(self, service: str) -> int:
        """Return the number of slots of all upstreams of a service that may get calls."""
        return sum(upstream.record.slots for upstream in self.for_service(service))

    def find_lifetime(self, name: str) -> Upstream | None:
        """Return the upstream whose present lifetime has this name, or None."""
        upstream = self.by_id.get(name) or self.by_id.get(name.rpartition("@")[0])
        return upstream if upstream is not None and upstream.lifetime == name else None

    def set_services(self, services: Iterable[str]) -> None:
        """Set the services that the configuration names."""
        self.configured_services = frozenset(services)
        self._rebuild_index()

    def store_recovered(self) -> None:
        """Treat entries that are missing during the grace time as lapsed."""
        self.lapse_window_end = self.clock.now() + LAPSE_GRACE

    def replace(
        self, records: Iterable[UpstreamRecord], version: int, unusable: Iterable[str] = ()
    ) -> None:
        """Replace the whole list.

        Args:
            unusable: Ids of entries that cannot be used.
        """
        listed = {record.id: record for record in records}
        unusable = set(unusable)
        gone = [id for id in self.by_id if id not in listed and id not in unusable]
        self.update(listed.values(), gone, version, unusable)

    def update(
        self,
        records: Iterable[UpstreamRecord],
        gone: Iterable[str],
        version: int,
        unusable: Iterable[str] = (),
    ) -> None:
        """Apply changes of the list.

        Args:
            records: Entries that are new or changed.
            gone: Ids of removed entries.
            unusable: Ids of entries that cannot be used any more.
        """
        if self.is_loaded and version < self.version:
            log.warning(
                "Ignored version %d of the list of upstreams, which is older than version %d.",
                version,
                self.version,
            )
            return
        self.version = version
        now = self.clock.now()
        for record in records:
            self._apply_record(record, now)
        for id in unusable:
            if id in self.by_id:
                self._remove(self.by_id[id], "its entry cannot be used any more")
        missing = [id for id in gone if id in self.by_id and self.by_id[id].forget_at is None]
        self._handle_missing(missing, now)
        self._rebuild_index()

    def expire(self) -> None:
        """Remove upstreams whose lapsed entries have not come back in time; called by a timer."""
        now = self.clock.now()
        expired = [u for u in self.lapsed if u.forget_at is not None and u.forget_at <= now]
        for upstream in expired:
            self._remove(upstream, "its lapsed entry did not come back")
        if expired:
            self._rebuild_index()

    def record_unhealthy(self, upstream: Upstream) -> None:
        """Remove an upstream that reports itself unhealthy while its entry has lapsed."""
        if upstream.forget_at is None or upstream.has_restarted:
            return
        self._remove(upstream, "its entry lapsed, and it says that it is leaving")
        self._rebuild_index()

    def record_departure(self, upstream: Upstream) -> None:
        """Retire an upstream that says that it leaves, even while its entry says otherwise."""
        if self.by_id.get(upstream.id) is not upstream:
            return  # Its lifetime has ended; another one may have its address.
        self.on_retire(upstream)
        self._rebuild_index()

    def record_replacement(self, upstream: Upstream) -> None:
        """Retire an upstream at whose address another one answered, even while it is listed."""
        if upstream.replaced:
            return
        upstream.replaced = True
        self.decisions.event("upstream-replaced", upstream=upstream.id, address=upstream.address)
        self.on_retire(upstream)
        self._rebuild_index()

    def dump(self) -> dict:
        """Describe the upstreams for the state dump."""
        now = self.clock.now()
        return {
            "version": self.version,
            "upstreams": {u.id: describe(u, now) for u in self.by_id.values()},
        }

    def _apply_record(self, record: UpstreamRecord, now: float) -> None:
        known = self.by_id.get(record.id)
        latest = known.record.born if known is not None else self._removed_birth(record.id)
        if is_older(record.born, latest):
            self.decisions.event("upstream-entry-old", upstream=record.id, born=record.born)
            return
        if known is not None and known.record.born != record.born:
            self._end_lifetime(known)
            known = None
        if known is None:
            self._add(record, now)
            return
        drain_started = record.draining and not known.record.draining
        if record.address != known.address:
            self.on_retire(known)
        known.update_record(record, now)
        if drain_started:
            self.decisions.event("upstream-drains", upstream=record.id, version=self.version)
            self.on_retire(known)

    def _add(self, record: UpstreamRecord, now: float) -> None:
        is_local = record.data_centre == self.data_centre
        upstream = self.by_id[record.id] = Upstream(record, is_local, now)
        removed = self.removed.pop(record.id, None)
        if removed is not None and removed.born == record.born and removed.said is not None:
            upstream.resume(removed.said)
        self.decisions.event(
            "upstream-joined", upstream=record.id, service=record.service, born=record.born
        )

    def _end_lifetime(self, upstream: Upstream) -> None:
        """Retire the earlier lifetime of an upstream that has started again."""
        upstream.has_restarted = True
        self.decisions.event("upstream-restarted", upstream=upstream.id, version=self.version)
        self.on_retire(upstream)

    def _handle_missing(self, ids: list[str], now: float) -> None:
        """Remove upstreams whose entries are gone; keep those for a while that may have lapsed."""
        self.recently_missing = [
            m for m in self.recently_missing if now - m[0] <= MASS_LAPSE_WINDOW
        ]
        self.recently_missing += [(now, id) for id in ids if self._is_configured(self.by_id[id])]
        total = max(self.configured_count, len(self.recently_missing))
        is_mass_lapse = len(self.recently_missing) >= max(
            MASS_LAPSE_MIN_COUNT, MASS_LAPSE_SHARE * total
        )
        if is_mass_lapse:
            self.lapse_window_end = max(self.lapse_window_end, now + LAPSE_GRACE)
        for id in ids:
            upstream = self.by_id[id]
            if upstream.record.draining or now >= self.lapse_window_end:
                self._remove(upstream, "its entry is gone")
                continue
            upstream.forget_at = self.lapse_window_end
            self.decisions.event("upstream-lapsed", upstream=id, kept_until=upstream.forget_at)

    def _remove(self, upstream: Upstream, why: str) -> None:
        del self.by_id[upstream.id]
        if upstream.record.born is not None:
            self._remember(upstream, upstream.record.born)
        self.decisions.event("upstream-gone", upstream=upstream.id, why=why, version=self.version)
        self.on_retire(upstream)

    def _is_configured(self, upstream: Upstream) -> bool:
        return (
            self.configured_services is None or upstream.record.service in self.configured_services
        )

    def _removed_birth(self, id: str) -> int | None:
        removed = self.removed.get(id)
        return None if removed is None else removed.born

    def _remember(self, upstream: Upstream, born: int) -> None:
        said = upstream if upstream.has_said_anything else None
        self.removed[upstream.id] = RemovedUpstream(born, said)
        self.removed.move_to_end(upstream.id)
        if len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    def _rebuild_index(self) -> None:
        self.generation += 1
        self.by_service = {}
        self.lapsed = [u for u in self.by_id.values() if u.forget_at is not None]
        self.configured_count = sum(
            self._is_configured(upstream) for upstream in self.by_id.values()
        )
        for upstream in self.by_id.values():
            if upstream.accepts_calls:
                self.by_service.setdefault(upstream.record.service, []).append(upstream)


def is_older(born: int | None, latest: int | None) -> bool:
    """Return whether an entry belongs to an earlier lifetime than the latest known one.

    Once an upstream has had an entry with a start time, entries without one are ignored.
    """
    if latest is None:
        return False
    return born is None or born < latest


def describe(upstream: Upstream, now: float) -> dict:
    """Return an upstream's state for the state dump."""
    stats = upstream.stats
    return {
        "service": upstream.record.service,
        "address": upstream.address,
        "software": upstream.record.version,
        "near": upstream.is_local,
        "born": upstream.record.born,
        "draining": upstream.record.draining,
        "replaced": upstream.replaced,
        "open_calls": len(stats.open_calls),
        "failure_share": round(stats.failure_rate(now), 3),
        "pace": round(stats.latency_ratio_at(now), 2),
        "silent": stats.unanswered_probes,
    }
