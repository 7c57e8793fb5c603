"""Sends the probes that the policy requests and records their results."""

from __future__ import annotations

from collections.abc import Collection

import curio

from ..metrics import Metrics
from ..timers import Clock, OnDemandTimer, Timers
from ..upstreams.probes import Prober, ProbeResult
from .attempt_recorder import Observer, apply_drain
from .services import Services, ServiceState

BACKGROUND_PROBE_INTERVAL = 0.02
"""Seconds between rounds of background probes."""

PROBE_TIMEOUT = 0.5
"""Maximum duration of a probe, in seconds."""

METRICS_SOURCE = "probe"


class Probing:
    """Sends the probes that `policy.probing` selects."""

    def __init__(
        self, services: Services, prober: Prober, metrics: Metrics, observer: Observer, clock: Clock
    ):
        self.services = services
        self.prober = prober
        self.metrics = metrics
        self.observer = observer
        self.clock = clock

    def subscribe(self, timers: Timers) -> None:
        """Send background probes periodically while any service is busy."""
        needed = self.services.busy.__len__
        timer = OnDemandTimer(
            timers, BACKGROUND_PROBE_INTERVAL, "probing", self.send_background_probes, needed
        )
        self.services.on_busy.append(timer.wake)

    async def send_background_probes(self) -> None:
        """Send the background probes that are due, as far as the budget allows."""
        now = self.clock.now()
        for state in self.services.busy_states(now):
            for name in state.probe_budget.background_targets(state.pool, now):
                await curio.spawn(self.probe(state, name), daemon=True)

    async def probe_before_choice(self, state: ServiceState, tried: Collection[str]) -> None:
        """Probe the best candidates before a choice, if the budget allows, and wait briefly."""
        names = state.probe_budget.choice_targets(state.pool, self.clock.now(), tried)
        if not names:
            return
        tasks = [await curio.spawn(self.probe(state, name), daemon=True) for name in names]
        # Answers that come too late for this choice are still recorded for the next ones.
        async with curio.ignore_after(state.probe_budget.wait_timeout()):
            for task in tasks:
                await task.wait()

    async def probe(self, state: ServiceState, name: str) -> None:
        """Send one probe and record its result."""
        upstream = state.pool.upstreams.get(name)
        if upstream is None:
            return
        probe = await self.prober.probe(upstream.address, PROBE_TIMEOUT)
        if probe.healthy:
            state.probe_budget.record_answer(probe.latency, probe.size, probe.latency)
        else:
            state.probe_budget.record_cost(probe.size, probe.latency)
        self.metrics.record_measurement(
            state.service.name, METRICS_SOURCE, probe.size, probe.latency
        )
        self._record_probe(state, name, probe)

    def _record_probe(self, state: ServiceState, name: str, probe: ProbeResult) -> None:
        now = self.clock.now()
        apply_drain(state, self.observer, name, probe.drain, now)
        if probe.load is not None:
            state.pool.record_probe(name, now, probe.latency, probe.load)
