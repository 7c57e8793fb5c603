"""State of each service on this daemon: its upstreams, queue and budgets."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from ..component import Component
from ..config.document import Document
from ..config.service import Service
from ..config.upstream import Upstream
from ..exceptions import Refusal
from ..outcome import Reason
from ..policy.admission import AdmissionQueue
from ..policy.choosers import chooser_named
from ..policy.concurrency import ConcurrencyLimit
from ..policy.connection_shares import LiveVmCount, connection_share
from ..policy.crashes import CrashLedger
from ..policy.options import PoolOptions
from ..policy.pool import PoolState
from ..policy.probing import ProbeBudget
from ..policy.quantiles import LatencyHistogram
from ..policy.retries import RetryBudget, hedge_delay
from ..policy.upstream_state import UpstreamSpec
from ..timers import Clock, Timers
from .exchange import Exchange

BUSY_SECONDS = 15.0
"""Seconds after its last call for which a service counts as busy."""

INITIAL_CONCURRENCY = 64
"""Initial value of the adaptive limit of concurrent calls to a service."""

MIN_CONCURRENCY = 4
"""Minimum of the adaptive limit of concurrent calls to a service."""

SHARE_INTERVAL = 10.0
"""Seconds between checks whether the connection shares have changed."""

HEDGE_DELAY_UPDATE_ANSWERS = 64
"""Number of answers after which the hedging delay is recalculated."""


class Hedging:
    """Hedging delay of one service, in seconds, derived from its latencies."""

    __slots__ = ("latencies", "tail_weight", "delay", "answers")

    def __init__(self, tail_weight: float):
        self.latencies = LatencyHistogram()
        self.tail_weight = tail_weight
        self.delay = hedge_delay(self.latencies, tail_weight)
        self.answers = 0

    def record_latency(self, elapsed: float) -> None:
        """Record the latency of one successful answer, in seconds."""
        self.latencies.add(elapsed)
        self.answers += 1
        if self.answers % HEDGE_DELAY_UPDATE_ANSWERS == 0:
            self.delay = hedge_delay(self.latencies, self.tail_weight)


class ServiceState:
    """Policy objects of one service; they are kept when its configuration changes."""

    __slots__ = ("service", "upstreams", "pool", "queue", "retry_budget", "hedging", "probe_budget")
    __slots__ += ("ledger", "last_call_at")

    def __init__(self, service: Service, random: Random):
        self.service = service
        self.upstreams: tuple[Upstream, ...] = ()
        self.pool = PoolState(
            service.name, pool_options(service), chooser_named(service.chooser), random
        )
        limit = ConcurrencyLimit(INITIAL_CONCURRENCY, MIN_CONCURRENCY)
        self.queue = AdmissionQueue(limit, service.queue_limit, service.caller_share)
        self.retry_budget = RetryBudget(service.retry_ratio)
        self.hedging = Hedging(service.tail_weight)
        self.probe_budget = ProbeBudget(service.probes_per_1000, service.tail_weight)
        self.ledger = CrashLedger()
        self.last_call_at = float("-inf")

    def configure(self, service: Service) -> None:
        """Apply changed options; measurements, queue and budgets are kept."""
        self.service = service
        self.pool.configure(pool_options(service), chooser_named(service.chooser))
        self.queue.queue_limit = service.queue_limit
        self.queue.caller_share = service.caller_share
        self.retry_budget.ratio = service.retry_ratio
        self.hedging.tail_weight = service.tail_weight
        self.probe_budget.configure(service.probes_per_1000, service.tail_weight)

    def dump(self, now: float) -> dict:
        """Describe the service for the state dump."""
        return {
            "upstreams": self.pool.dump(now),
            "queue": self.queue.dump(now),
            "retries": self.retry_budget.dump(now),
            "probing": self.probe_budget.dump(now),
            "hedge_after_ms": round(self.hedging.delay * 1000, 1),
            "crash_suspects": len(self.ledger.by_fingerprint),
        }


class Services(Component):
    """All services of the current configuration.

    Args:
        set_share: Called with an upstream's address and the number of connections that this daemon
            may open to it.
        live_count: Returns the number of live VMs, which share each upstream's connections.

    Attributes:
        busy: The services with recent calls, by name.
        on_busy: Called without arguments when a service becomes busy.
    """

    name = "services"

    def __init__(
        self,
        clock: Clock,
        random: Random,
        set_share: Callable[[str, int], None],
        live_count: Callable[[], int],
    ):
        self.clock = clock
        self.random = random
        self.set_share = set_share
        self.live_count = live_count
        self.live_vm_count = LiveVmCount()
        self.connection_sharers = 0
        self.by_name: dict[str, ServiceState] = {}
        self.busy: dict[str, ServiceState] = {}
        self.on_busy: list[Callable[[], None]] = []
        self.service_by_upstream: dict[str, str] = {}
        self.document = Document.empty()

    def update(self, document: Document) -> None:
        """Apply a configuration; services that it does not change are left alone."""
        for name in self.by_name.keys() - document.services.keys():
            self._remove_service(name)
        for name, service in document.services.items():
            self._update_service(document, name, service)
        self.document = document

    def state_of(self, exchange: Exchange) -> ServiceState:
        """Return the state of a call's service; it stays the same for the whole call.

        Raises:
            Refusal: The service was removed before its state was first requested for the call.
        """
        if exchange.state is None:
            exchange.state = self.by_name.get(exchange.service.name)
        if exchange.state is None:
            message = "The service was removed just now; check the address."
            raise Refusal(404, exchange.outcome, Reason.NO_SERVICE, message)
        return exchange.state

    def subscribe(self, timers: Timers) -> None:
        """Check periodically whether the number of live VMs has fallen."""
        timers.every(SHARE_INTERVAL, "connection shares", self.share_connections)

    def share_connections(self) -> None:
        """Update the connection shares of all upstreams if the number of live VMs has changed."""
        live = self._count_connection_sharers()
        if live == self.connection_sharers:
            return
        self.connection_sharers = live
        for state in self.by_name.values():
            for upstream in state.upstreams:
                self._set_share(self.document, upstream, live)

    def pool_of(self, upstream: str) -> PoolState | None:
        """Return the pool state of the named upstream, or None."""
        state = self.by_name.get(self.service_by_upstream.get(upstream, ""))
        return None if state is None else state.pool

    def record_call(self, state: ServiceState, now: float) -> None:
        """Record the start of a call: add its probe tokens and mark the service as busy."""
        state.probe_budget.record_calls(1, now)
        state.last_call_at = now
        if state.service.name not in self.busy:
            self.busy[state.service.name] = state
            for wake in self.on_busy:
                wake()

    def busy_states(self, now: float) -> list[ServiceState]:
        """Return the services with a call in the last `BUSY_SECONDS`."""
        for name, state in list(self.busy.items()):
            if now - state.last_call_at > BUSY_SECONDS:
                del self.busy[name]
        return list(self.busy.values())

    def states(self) -> Iterator[ServiceState]:
        """Iterate over all services."""
        return iter(self.by_name.values())

    def dump(self) -> dict:
        now = self.clock.now()
        return {name: state.dump(now) for name, state in self.by_name.items()}

    def _remove_service(self, name: str) -> None:
        """Remove a service; its waiting calls find no upstream and are refused."""
        self.busy.pop(name, None)
        state = self.by_name.pop(name)
        self._remove_upstreams(state)
        state.pool.set_upstreams((), self.clock.now())

    def _update_service(self, document: Document, name: str, service: Service) -> None:
        state = self.by_name.get(name)
        if state is None:
            state = self.by_name[name] = ServiceState(service, self.random)
        elif state.service is not service:
            state.configure(service)
        upstreams = document.upstreams_of(name)
        if upstreams is state.upstreams:
            return
        self._remove_upstreams(state)
        state.upstreams = upstreams
        specs = [spec_of(document, upstream) for upstream in upstreams]
        state.pool.set_upstreams(specs, self.clock.now())
        live = self._count_connection_sharers()
        for upstream in upstreams:
            self.service_by_upstream[upstream.name] = name
            self._set_share(document, upstream, live)

    def _count_connection_sharers(self) -> int:
        return self.live_vm_count.update(self.live_count(), self.clock.now())

    def _set_share(self, document: Document, upstream: Upstream, live: int) -> None:
        share = connection_share(document.connections_of(upstream), live)
        self.set_share(upstream.address, share)

    def _remove_upstreams(self, state: ServiceState) -> None:
        for upstream in state.upstreams:
            self.service_by_upstream.pop(upstream.name, None)


def pool_options(service: Service) -> PoolOptions:
    """Return the options of a service that affect the choice of an upstream."""
    return PoolOptions(service.eject_cap, service.tail_weight, service.probes_per_1000)


def spec_of(document: Document, upstream: Upstream) -> UpstreamSpec:
    """Return an upstream's specification, with the defaults of its pool."""
    return UpstreamSpec(
        upstream.name,
        upstream.address,
        document.slots_of(upstream),
        document.connections_of(upstream),
        upstream.data_centre,
        upstream.drained,
        upstream.pool,
    )
