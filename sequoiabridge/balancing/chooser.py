"""Chooses the upstream of a call: asks some candidates for their load, weighs, takes the best."""

from __future__ import annotations

from random import Random

from ..timers import Clock
from .call import Call
from .candidates import Candidates
from .cost_model import CallRequirements, CostEstimate, estimate_cost, lacks_capacity
from .overload import OverloadTracker
from .refusals import overloaded
from .route_stats import RouteStats
from .steps import BackgroundProbe, Probe, Sleep, Steps
from .upstream import Upstream
from .upstream_stats import PROBE_WAIT

MOST_ASKED = 5
"""Upstreams that are asked before a call. In trials on the users' sites, asking 3 kept 0.978 of
the worth of a quiet day, 5 kept 0.990 and 8 no more than 5."""

FRESH = 0.02
"""Seconds for which an upstream's word on its load is not asked for again; calls that were sent
meanwhile are counted, and neighbours change only twice a second."""

GAIN = 0.12
"""Worth that a far upstream must be able to save, beyond the cost of its bytes, before far ones are
asked. Five questions move some 2.5 KB between data centres, which costs the users 0.05, and cost
0.02 themselves; at 0.05, a quiet day of 14 VMs earned 0.832 and at 0.12 it earned 0.850 (means of
three runs each)."""

HOLD_SHARE = 0.125
"""Part of the target latency for which a call is held when all upstreams are crowded; longer
waiting costs callers more than trying again later."""

HOLD_LOOK = 0.01
"""Seconds between two looks meanwhile; a slot becomes free every few milliseconds in a service of
some dozen upstreams."""

SHOWN = 3
"""Weighed upstreams that the log shows of a choice."""


class Chooser:
    """Chooses upstreams for calls.

    Args:
        costs: What a call's work takes and what moving its bytes costs.
    """

    def __init__(
        self, candidates: Candidates, route_stats: RouteStats, clock: Clock, random: Random
    ):
        self.candidates = candidates
        self.route_stats = route_stats
        self.clock = clock
        self.random = random
        self.overload = OverloadTracker()

    def place(self, call: Call) -> Steps[CostEstimate | None]:
        """Return an upstream with a place for a new call, None if there is none at all.

        When all are crowded, it looks again for a little while.

        Raises:
            Refusal: All stay crowded.
        """
        until = call.arrived + call.body_seconds + HOLD_SHARE * call.route.target_latency
        best = yield from self.choose(call)
        full = best is not None and self.lacks_capacity(call, best)
        if not call.prior_wait:
            self.overload.record(call.service, full, self.clock.now())
        while full:
            if self.clock.now() >= until:
                raise overloaded(call)
            yield Sleep(HOLD_LOOK)
            best = yield from self.choose(call)
            full = best is not None and self.lacks_capacity(call, best)
        return best

    def lacks_capacity(self, call: Call, estimate: CostEstimate) -> bool:
        """Return whether an upstream that was chosen has no place for the call."""
        return lacks_capacity(self._needs(call), estimate)

    def choose(self, call: Call) -> Steps[CostEstimate | None]:
        """Return the best upstream that the call was not sent to yet, None if there is none."""
        neighbours = self.candidates.of_service(call.service)
        tried = call.tried_ids
        near = [upstream for upstream in neighbours.near if upstream.id not in tried]
        far = [upstream for upstream in neighbours.far if upstream.id not in tried]
        yield from self._ask(near)
        best = self._best(call, near)
        transfer_cost = self.route_stats.transfer_cost(call)
        if far and (best is None or best.cost > transfer_cost + GAIN):
            yield from self._ask(far)
            best = self._best(call, near + far)
        return best

    def _ask(self, upstreams: list[Upstream]) -> Steps[None]:
        """Ask some of them, by chance; those that lately did not answer are not waited for."""
        now = self.clock.now()
        for upstream in upstreams:
            if upstream.stats.is_probe_due(now):
                yield BackgroundProbe(upstream)
        answering = [u for u in upstreams if not u.stats.is_unresponsive(now)]
        answering = [u for u in answering if now - u.stats.load_reported_at > FRESH]
        if len(answering) > MOST_ASKED:
            answering = self.random.sample(answering, MOST_ASKED)
        if answering:
            yield Probe(answering, PROBE_WAIT)

    def _needs(self, call: Call) -> CallRequirements:
        return CallRequirements(
            self.route_stats.work(call),
            call.late_at - self.clock.now(),
            call.route.target_latency,
            self.route_stats.transfer_cost(call),
            call.deadline - self.clock.now(),
            self.overload.ratio(call.service, self.clock.now()),
        )

    def _best(self, call: Call, upstreams: list[Upstream]) -> CostEstimate | None:
        now = self.clock.now()
        needs = self._needs(call)
        estimates = [
            estimate_cost(needs, upstream, now) for upstream in upstreams if upstream.accepts_calls
        ]
        estimates.sort(key=lambda one: one.cost)
        call.considered = estimates[:SHOWN] or call.considered
        return estimates[0] if estimates else None
