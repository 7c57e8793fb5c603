"""Probes drained upstreams for their return, and upstreams that fail calls for a drain."""

from __future__ import annotations

import curio

from ..timers import Clock, OnDemandTimer, Timers
from ..upstreams.probes import Prober
from .attempt_recorder import Observer, apply_drain
from .services import Services, ServiceState

DRAINED_PROBE_INTERVAL = 2.0
"""Mean seconds between probes of a drained upstream, by the whole fleet together."""

PROBE_TIMEOUT = 0.5
"""Maximum duration of a probe, in seconds."""

FAILED_PROBE_INTERVAL = 0.5
"""Seconds between checks for upstreams that failed calls."""

NO_BUDGET_PROBE_INTERVAL = 60.0
"""Seconds between probes of a drained upstream of a service without a probe budget."""

MAX_PROBED_AT_ONCE = 16
"""Maximum number of upstreams that one VM probes in one round."""


class DrainChecker:
    """Ends the drain of an upstream that is back, and detects drains of upstreams that fail calls.

    Only a healthy answer with a newer incarnation ends a drain; one without may be outdated. Each
    VM probes a random share of the drained upstreams. Probes take tokens of the service's probe
    budget; without a budget, each upstream is probed once per `NO_BUDGET_PROBE_INTERVAL`.

    An upstream whose answers are lost cannot report a drain with them. It is therefore probed once
    after a failed call of this VM, if the probe budget allows.
    """

    __slots__ = ("services", "prober", "observer", "clock")

    def __init__(self, services: Services, prober: Prober, observer: Observer, clock: Clock):
        self.services = services
        self.prober = prober
        self.observer = observer
        self.clock = clock

    def subscribe(self, timers: Timers) -> None:
        """Probe drained upstreams periodically, and failed ones while any service is busy."""
        timers.every(DRAINED_PROBE_INTERVAL, "returning upstreams", self.probe_drained)
        needed = self.services.busy.__len__
        timer = OnDemandTimer(
            timers, FAILED_PROBE_INTERVAL, "failed upstreams", self.probe_failed, needed
        )
        self.services.on_busy.append(timer.wake)

    async def probe_drained(self) -> None:
        """Probe this VM's share of the drained upstreams."""
        share = 1.0 / max(1, self.services.live_count())
        drained = [
            (state, name)
            for state in self.services.states()
            for name, upstream in state.pool.upstreams.items()
            if upstream.draining is not None and self.services.random.random() < share
        ]
        for state, name in drained[:MAX_PROBED_AT_ONCE]:
            if self._may_probe(state, name):
                await curio.spawn(self.probe(state, name), daemon=True)

    async def probe_failed(self) -> None:
        """Probe the upstreams that have failed a call since they were last probed."""
        now = self.clock.now()
        for state in self.services.busy_states(now):
            failed = [u for u in state.pool.undrained_upstreams() if u.consecutive_failures]
            for upstream in failed[:MAX_PROBED_AT_ONCE]:
                # `last_outcome_at` is the time of the last outcome, which was a failure.
                if (
                    upstream.last_outcome_at > upstream.probed_at
                    and state.probe_budget.take_token()
                ):
                    upstream.probed_at = now
                    await curio.spawn(self.probe, state, upstream.name, daemon=True)

    def _may_probe(self, state: ServiceState, name: str) -> bool:
        now = self.clock.now()
        upstream = state.pool.upstreams[name]
        due_without_budget = (
            not state.probe_budget.per_call and now - upstream.probed_at >= NO_BUDGET_PROBE_INTERVAL
        )
        if due_without_budget or state.probe_budget.take_token():
            upstream.probed_at = now
            return True
        return False

    async def probe(self, state: ServiceState, name: str) -> None:
        """Probe one upstream; notify the observer if it is draining or back."""
        upstream = state.pool.upstreams.get(name)
        if upstream is None:
            return
        probe = await self.prober.probe(upstream.address, PROBE_TIMEOUT)
        state.probe_budget.record_cost(probe.size, probe.latency)
        apply_drain(state, self.observer, name, probe.drain, self.clock.now())
        if not probe.healthy or probe.drain is not None or probe.incarnation is None:
            return
        if state.pool.resume(name, probe.incarnation, self.clock.now()):
            self.observer.record_return(name, probe.incarnation)
