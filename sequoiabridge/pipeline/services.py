"""What one daemon keeps for each service: its upstreams, its queue, its budgets."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from ..config.document import Document
from ..config.service import Service
from ..config.upstream import Upstream
from ..parts import Part
from ..policy.admission import AdmissionQueue
from ..policy.choosers import chooser_named
from ..policy.evidence import UpstreamSpec
from ..policy.pool import PoolOptions, PoolState
from ..policy.probing import ProbeBudget
from ..policy.retries import HedgeDelay, RetryBudget
from ..policy.shares import connection_share
from ..timers import Clock

QUIET = 15.0
"""Seconds after the last call from which a service counts as quiet; evidence has faded then."""


class ServiceState:
    """One service as this daemon sees it: policy objects that outlive configuration changes."""

    __slots__ = ("service", "upstreams", "pool", "queue", "retries", "hedging", "probing")
    __slots__ += ("called_at",)

    def __init__(self, service: Service, random: Random):
        self.service = service
        self.upstreams: tuple[Upstream, ...] = ()
        self.pool = PoolState(
            service.name, pool_options(service), chooser_named(service.chooser), random
        )
        self.queue = AdmissionQueue(service.queue_limit, service.caller_share)
        self.retries = RetryBudget(service.retry_ratio)
        self.hedging = HedgeDelay()
        self.probing = ProbeBudget(service.probes_per_1000, service.tail_weight)
        self.called_at = float("-inf")

    def configure(self, service: Service) -> None:
        """Take over a service's new options; evidence, queue and budgets stay."""
        self.service = service
        self.pool.options = pool_options(service)
        self.pool.chooser = chooser_named(service.chooser)
        self.queue.configure(service.queue_limit, service.caller_share)
        self.retries.ratio = service.retry_ratio
        self.probing = ProbeBudget(service.probes_per_1000, service.tail_weight)

    def dump(self, now: float) -> dict:
        """Describe the service for the state dump."""
        return {
            "upstreams": self.pool.dump(now),
            "queue": self.queue.dump(now),
            "retries": self.retries.dump(now),
            "probing": self.probing.dump(now),
        }


class Services(Part):
    """All services of the configuration in force.

    Args:
        set_share: Told for each upstream's address how many connections this daemon may open.
        live_count: Returns how many VMs share each upstream's connections now.
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
        self.by_name: dict[str, ServiceState] = {}
        self.busy: dict[str, ServiceState] = {}
        self.woken: list[Callable[[], None]] = []
        self.service_of: dict[str, str] = {}
        self.document = Document.empty()

    def update(self, document: Document) -> None:
        """Take over a configuration; a service that it does not change costs nothing."""
        for name in self.by_name.keys() - document.services.keys():
            self.busy.pop(name, None)
            self._forget(self.by_name.pop(name))
        for name, service in document.services.items():
            self._update_one(document, name, service)
        self.document = document

    def share_connections(self) -> None:
        """Divide the connections of all upstreams anew, after VMs came or went."""
        live = self.live_count()
        for state in self.by_name.values():
            for upstream in state.upstreams:
                self._share(self.document, upstream, live)

    def pool_of(self, upstream: str) -> PoolState | None:
        """Return the pool state that has the named upstream, or None."""
        state = self.by_name.get(self.service_of.get(upstream, ""))
        return None if state is None else state.pool

    def called(self, state: ServiceState, now: float) -> None:
        """A call of a service begins: it pays for probes, and the service is busy for a while."""
        state.probing.earned(1, now)
        state.called_at = now
        if state.service.name not in self.busy:
            self.busy[state.service.name] = state
            for wake in self.woken:
                wake()

    def busy_states(self, now: float) -> list[ServiceState]:
        """Return the services that were called lately; what is done time and again is for these."""
        for name, state in list(self.busy.items()):
            if now - state.called_at > QUIET:
                del self.busy[name]
        return list(self.busy.values())

    def states(self) -> Iterator[ServiceState]:
        """Go through all services."""
        return iter(self.by_name.values())

    def dump(self) -> dict:
        now = self.clock.now()
        return {name: state.dump(now) for name, state in self.by_name.items()}

    def _update_one(self, document: Document, name: str, service: Service) -> None:
        state = self.by_name.get(name)
        if state is None:
            state = self.by_name[name] = ServiceState(service, self.random)
        elif state.service is not service:
            state.configure(service)
        upstreams = document.upstreams_of(name)
        if upstreams is state.upstreams:
            return
        self._forget(state)
        state.upstreams = upstreams
        specs = [spec_of(document, upstream) for upstream in upstreams]
        state.pool.set_upstreams(specs, self.clock.now())
        live = self.live_count()
        for upstream in upstreams:
            self.service_of[upstream.name] = name
            self._share(document, upstream, live)

    def _share(self, document: Document, upstream: Upstream, live: int) -> None:
        share = connection_share(document.connections_of(upstream), live)
        self.set_share(upstream.address, share)

    def _forget(self, state: ServiceState) -> None:
        for upstream in state.upstreams:
            self.service_of.pop(upstream.name, None)


def pool_options(service: Service) -> PoolOptions:
    """Return a service's options that the choice of an upstream depends on."""
    return PoolOptions(service.eject_cap, service.tail_weight, service.probes_per_1000)


def spec_of(document: Document, upstream: Upstream) -> UpstreamSpec:
    """Return an upstream as the policy wants it, with its pool's defaults filled in."""
    return UpstreamSpec(
        upstream.name,
        upstream.address,
        document.slots_of(upstream),
        document.connections_of(upstream),
        upstream.data_centre,
        upstream.drained,
        upstream.pool,
    )
