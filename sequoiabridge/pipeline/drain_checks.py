"""Asks upstreams that left whether they are back, and those that fail calls whether they leave."""

from __future__ import annotations

import curio

from ..timers import Clock, OnDemandTimer, Timers
from ..upstreams.probes import Prober
from .attempt_recorder import Observer, apply_drain
from .services import Services, ServiceState

DRAINED_PROBE_INTERVAL = 2.0
"""Seconds between two questions to one upstream, by the whole fleet together."""

PROBE_TIMEOUT = 0.5
"""Seconds that an answer may take."""

FAILED_PROBE_INTERVAL = 0.5
"""Seconds between two looks at which upstreams failed calls."""

UNPAID_PROBE_INTERVAL = 60.0
"""Seconds between two questions to one upstream of a service whose budget is 0."""

MAX_PROBED_AT_ONCE = 16
"""Upstreams that one VM asks in one look."""


class DrainChecker:
    """Ends a drain when the upstream itself says that it is back.

    Only a healthy answer with a newer incarnation does so: an answer without one may be late, or
    be made by a health endpoint that lags. The service's budget of measuring pays for the
    questions; where that is 0, each upstream is asked once in `UNPAID_EVERY` seconds, or it would
    never get work again. The VMs share the questions out by chance.

    An upstream whose answers are lost cannot say that it leaves. It is asked once after a failure
    of this VM's own calls, if that is paid; its word is taken in as from any answer.
    """

    __slots__ = ("services", "prober", "observer", "clock")

    def __init__(self, services: Services, prober: Prober, observer: Observer, clock: Clock):
        self.services = services
        self.prober = prober
        self.observer = observer
        self.clock = clock

    def subscribe(self, timers: Timers) -> None:
        """Ask from time to time."""
        timers.every(DRAINED_PROBE_INTERVAL, "returning upstreams", self.probe_drained)
        needed = self.services.busy.__len__
        timer = OnDemandTimer(
            timers, FAILED_PROBE_INTERVAL, "failed upstreams", self.probe_failed, needed
        )
        self.services.on_busy.append(timer.wake)

    async def probe_drained(self) -> None:
        """Ask this VM's share of the upstreams that left."""
        share = 1.0 / max(1, self.services.live_count())
        left = [
            (state, name)
            for state in self.services.states()
            for name, upstream in state.pool.upstreams.items()
            if upstream.draining is not None and self.services.random.random() < share
        ]
        for state, name in left[:MAX_PROBED_AT_ONCE]:
            if self._may_probe(state, name):
                await curio.spawn(self.probe(state, name), daemon=True)

    async def probe_failed(self) -> None:
        """Ask the upstreams that have failed a call since they were last asked."""
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
        unpaid = (
            not state.probe_budget.per_call and now - upstream.probed_at >= UNPAID_PROBE_INTERVAL
        )
        if unpaid or state.probe_budget.take_token():
            upstream.probed_at = now
            return True
        return False

    async def probe(self, state: ServiceState, name: str) -> None:
        """Ask one upstream; tell the fleet if it leaves or is back."""
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
