"""Asks upstreams that said they were leaving whether they are back."""

from __future__ import annotations

import curio

from ..timers import Clock, Timers
from ..upstreams.probes import Prober
from .accounting import Observer
from .services import Services, ServiceState

LOOK_EVERY = 2.0
"""Seconds between two questions to one upstream, by the whole fleet together."""

ASK_TIMEOUT = 0.5
"""Seconds that an answer may take."""

UNPAID_EVERY = 60.0
"""Seconds between two questions to one upstream that no budget pays for."""

MOST_ASKED = 16
"""Upstreams that one VM asks in one look."""


class Returning:
    """Ends a drain when the upstream itself says that it is back.

    Only a healthy answer with a newer incarnation does so: an answer without one may be late, or
    be made by a health endpoint that lags. The service's budget of measuring pays for the
    questions; where it is spent (or 0), each upstream is asked once in `UNPAID_EVERY` seconds, or
    it would never get work again. The VMs share the questions out by chance.
    """

    __slots__ = ("services", "prober", "observer", "clock")

    def __init__(self, services: Services, prober: Prober, observer: Observer, clock: Clock):
        self.services = services
        self.prober = prober
        self.observer = observer
        self.clock = clock

    def subscribe(self, timers: Timers) -> None:
        """Ask from time to time."""
        timers.every(LOOK_EVERY, "returning upstreams", self.look)

    async def look(self) -> None:
        """Ask this VM's share of the upstreams that left."""
        share = 1.0 / max(1, self.services.live_count())
        left = [
            (state, name)
            for state in self.services.states()
            for name, evidence in state.pool.upstreams.items()
            if evidence.draining is not None and self.services.random.random() < share
        ]
        for state, name in left[:MOST_ASKED]:
            if self._may_ask(state, name):
                await curio.spawn(self.ask(state, name), daemon=True)

    def _may_ask(self, state: ServiceState, name: str) -> bool:
        now = self.clock.now()
        evidence = state.pool.upstreams[name]
        if state.probing.pay() or now - evidence.probed_at >= UNPAID_EVERY:
            evidence.probed_at = now
            return True
        return False

    async def ask(self, state: ServiceState, name: str) -> None:
        """Ask one upstream; give it work again, here and in the fleet, if it is back."""
        evidence = state.pool.upstreams.get(name)
        if evidence is None:
            return
        probe = await self.prober.probe(evidence.address, ASK_TIMEOUT)
        state.probing.spent(probe.size, probe.latency)
        if not probe.healthy or probe.drain is not None or probe.incarnation is None:
            return
        if state.pool.resume(name, probe.incarnation, self.clock.now()):
            self.observer.returned(name, probe.incarnation)
