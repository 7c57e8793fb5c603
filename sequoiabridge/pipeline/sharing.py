"""Shares drains, crashes, load and retry counts with the other daemons of the fleet."""

from __future__ import annotations

from ..component import Component
from ..fleet.base import CrashItem, DrainItem, LoadItem, RetryItem, Urgency
from ..fleet.fleet import FleetNode
from ..fleet.loads import LOAD_TTL, LocalLoad, PublishedLoad, select_load_items
from ..logs import get_log
from ..metrics import Metrics
from ..policy.base import Failure
from ..policy.crashes import CrashLedger
from ..policy.suspicions import is_local_suspect
from ..policy.upstream_state import UpstreamState
from ..timers import Clock, OnDemandTimer, Timers
from .attempt_recorder import Observer
from .crash_guard import request_fingerprint
from .exchange import Exchange
from .services import Services, ServiceState

log = get_log("sharing")

LOAD_INTERVAL = 0.1
"""Seconds between rounds in which load is published."""

LOAD_SLICES = 5
"""Number of rounds in which all services are processed once, to keep each round short."""

RETRY_COUNT_INTERVAL = 1.0
"""Seconds between reports of retries and successes."""

MICROSECONDS_PER_SECOND = 1_000_000


class Sharing(Observer, Component):
    """Publishes this daemon's observations to its peers and applies theirs."""

    name = "sharing"

    def __init__(
        self,
        vm: str,
        services: Services,
        fleet: FleetNode,
        metrics: Metrics,
        clock: Clock,
    ):
        self.vm = vm
        self.services = services
        self.fleet = fleet
        self.metrics = metrics
        self.clock = clock
        self.published: dict[str, PublishedLoad] = {}
        self.rounds = 0
        self.published_drains = 0
        self.published_crashes = 0
        fleet.subscribe(DrainItem, self.handle_drain)
        fleet.subscribe(CrashItem, self.handle_crash)
        fleet.subscribe(LoadItem, self.handle_load)
        fleet.subscribe(RetryItem, self.handle_retries)

    def subscribe(self, timers: Timers) -> None:
        """Publish load while any service is busy, and retry counts periodically."""
        timer = OnDemandTimer(
            timers, LOAD_INTERVAL, "sharing load", self.publish_load, self._has_load_to_publish
        )
        self.services.on_busy.append(timer.wake)
        timers.every(RETRY_COUNT_INTERVAL, "sharing retries", self.publish_retries)

    # Events of this daemon's calls.

    def record_drain(self, upstream: str, incarnation: int) -> None:
        self.published_drains += 1
        log.info("Upstream %s reports that it is draining.", upstream)
        self.fleet.publish(DrainItem(upstream, incarnation), Urgency.DRAIN)

    def record_return(self, upstream: str, incarnation: int) -> None:
        log.info("Upstream %s reports that it is back.", upstream)
        self.fleet.publish(DrainItem(upstream, incarnation, leaving=False), Urgency.DRAIN)

    def record_failure(self, exchange: Exchange, upstream: str, failure: Failure) -> None:
        return

    def record_crash(self, exchange: Exchange, upstream: str) -> None:
        self._publish_crash(
            self.services.state_of(exchange).ledger, request_fingerprint(exchange), upstream
        )

    def record_upload_crash(self, service: str, upload: str, upstream: str) -> None:
        state = self.services.by_name.get(service)
        if state is not None:
            self._publish_crash(state.ledger, upload, upstream)

    def _publish_crash(self, ledger: CrashLedger, fingerprint: str, upstream: str) -> None:
        now, wall = self.clock.now(), self.clock.wall()
        self.published_crashes += 1
        ledger.record_crash(fingerprint, upstream, self.vm, wall, now)
        self.fleet.publish(CrashItem(fingerprint, upstream, wall), Urgency.CRASH)

    def record_answer(self, exchange: Exchange, age: float) -> None:
        ledger = self.services.state_of(exchange).ledger
        fingerprint, sent_at = request_fingerprint(exchange), self.clock.wall() - age
        # Peers that know of the crashes, or learn of them later, may receive no answer themselves.
        if ledger.record_answer(fingerprint, sent_at):
            self.fleet.publish(CrashItem(fingerprint, "", sent_at, released=True), Urgency.CRASH)

    def record_retry(self, service: str, hedge: bool) -> None:
        self.metrics.retries.add(service, "hedge" if hedge else "retry")

    # Items of peers.

    def handle_drain(self, item: DrainItem, origin: str) -> None:
        """Apply that an upstream is draining, or is back with a newer incarnation."""
        pool = self.services.pool_of(item.upstream)
        if pool is None:
            return
        now = self.clock.now()
        if item.leaving:
            pool.drain(item.upstream, item.incarnation, now)
        else:
            pool.resume(item.upstream, item.incarnation, now)

    def handle_crash(self, item: CrashItem, origin: str) -> None:
        """Record a crash that a request is suspected of, or release the request."""
        if item.released:
            for state in self.services.states():
                state.ledger.release(item.fingerprint, item.at)
            return
        state = self.services.by_name.get(self.services.service_by_upstream.get(item.upstream, ""))
        if state is not None:
            now = self.clock.now()
            state.ledger.record_crash(item.fingerprint, item.upstream, origin, item.at, now)

    def handle_load(self, item: LoadItem, origin: str) -> None:
        """Record a peer's load figures of an upstream."""
        pool = self.services.pool_of(item.upstream)
        if pool is None:
            return
        age, latency = item.age_ms / 1000, item.latency_us / MICROSECONDS_PER_SECOND
        now = self.clock.now()
        pool.record_peer_load(
            item.upstream, item.in_flight, latency, item.suspect, age, origin, now
        )

    def handle_retries(self, item: RetryItem, origin: str) -> None:
        """Record a peer's counts of retries and successes in the retry budget."""
        state = self.services.by_name.get(item.service)
        if state is not None:
            now = self.clock.now()
            state.retry_budget.record_peer_counts(
                item.vm, item.period, item.retries, item.successes, now
            )

    # Periodic reports.

    def publish_load(self) -> None:
        """Publish the load of some services, as far as the byte bucket allows."""
        now = self.clock.now()
        self._drop_expired(now)
        loads = []
        self.rounds += 1
        for state in self.services.busy_states(now)[self.rounds % LOAD_SLICES :: LOAD_SLICES]:
            shared = {upstream.name: upstream for upstream in state.pool.possible_suspects()}
            shared |= self._published_upstreams(state)
            loads += [local_load(upstream, now) for upstream in shared.values()]
        room = self.fleet.bucket.room(Urgency.LOAD)
        for item in select_load_items(loads, self.published, room, now):
            self.fleet.publish(item, Urgency.LOAD)

    def publish_retries(self) -> None:
        """Publish the retries and successes of each service in the last complete period."""
        now = self.clock.now()
        for name, state in self.services.by_name.items():
            report = state.retry_budget.report(now)
            if report is None:
                continue
            item = RetryItem(self.vm, name, report.period, report.retries, report.successes)
            self.fleet.publish(item, Urgency.RETRY)

    def _has_load_to_publish(self) -> bool:
        return bool(self.services.busy or self.published)

    def _published_upstreams(self, state: ServiceState) -> dict[str, UpstreamState]:
        """Return the upstreams of a service whose load was published before."""
        upstreams = state.pool.upstreams
        if len(self.published) > len(upstreams):
            return {
                name: upstream for name, upstream in upstreams.items() if name in self.published
            }
        return {name: upstreams[name] for name in self.published if name in upstreams}

    def _drop_expired(self, now: float) -> None:
        for name in [
            n for n, published in self.published.items() if now - published.published_at >= LOAD_TTL
        ]:
            del self.published[name]

    def dump(self) -> dict:
        return {
            "drains_told": self.published_drains,
            "crashes_told": self.published_crashes,
            "told": len(self.published),
        }


def local_load(upstream: UpstreamState, now: float) -> LocalLoad:
    """Return this daemon's load figures of one upstream, to be published."""
    latency_us = int(upstream.latency * MICROSECONDS_PER_SECOND)
    suspect = is_local_suspect(upstream, now)
    return LocalLoad(upstream.name, upstream.in_flight, latency_us, suspect, now)
