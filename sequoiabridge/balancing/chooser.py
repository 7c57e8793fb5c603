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

MAX_PROBED = 5
"""Upstreams that are asked before a call. In trials on the users' sites, asking 3 kept 0.978 of
the worth of a quiet day, 5 kept 0.990 and 8 no more than 5."""

FRESH_REPORT_AGE = 0.02
"""Seconds for which an upstream's word on its load is not asked for again; calls that were sent
meanwhile are counted, and neighbours change only twice a second."""

MIN_REMOTE_GAIN = 0.12
"""Worth that a far upstream must be able to save, beyond the cost of its bytes, before far ones are
asked. Five questions move some 2.5 KB between data centres, which costs the users 0.05, and cost
0.02 themselves; at 0.05, a quiet day of 14 VMs earned 0.832 and at 0.12 it earned 0.850 (means of
three runs each)."""

HOLD_SHARE = 0.125
"""Part of the target latency for which a call is held when all upstreams are crowded; longer
waiting costs callers more than trying again later."""

HOLD_POLL_INTERVAL = 0.01
"""Seconds between two looks meanwhile; a slot becomes free every few milliseconds in a service of
some dozen upstreams."""

LOGGED_ESTIMATES = 3
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

    def choose_or_hold(self, call: Call) -> Steps[CostEstimate | None]:
        """Return an upstream with a place for a new call, None if there is none at all.

        When all are crowded, it looks again for a little while.

        Raises:
            Refusal: All stay crowded.
        """
        hold_until = call.arrived + call.body_seconds + HOLD_SHARE * call.route.target_latency
        best = yield from self.choose(call)
        no_capacity = best is not None and self.lacks_capacity(call, best)
        if not call.prior_wait:
            self.overload.record(call.service, no_capacity, self.clock.now())
        while no_capacity:
            if self.clock.now() >= hold_until:
                raise overloaded(call)
            yield Sleep(HOLD_POLL_INTERVAL)
            best = yield from self.choose(call)
            no_capacity = best is not None and self.lacks_capacity(call, best)
        return best

    def lacks_capacity(self, call: Call, estimate: CostEstimate) -> bool:
        """Return whether an upstream that was chosen has no place for the call."""
        return lacks_capacity(self._requirements(call), estimate)

    def choose(self, call: Call) -> Steps[CostEstimate | None]:
        """Return the best upstream that the call was not sent to yet, None if there is none."""
        candidates = self.candidates.for_service(call.service)
        tried_ids = call.tried_ids
        local = [upstream for upstream in candidates.local if upstream.id not in tried_ids]
        remote = [upstream for upstream in candidates.remote if upstream.id not in tried_ids]
        yield from self._probe(local)
        best = self._best(call, local)
        transfer_cost = self.route_stats.transfer_cost(call)
        if remote and (best is None or best.cost > transfer_cost + MIN_REMOTE_GAIN):
            yield from self._probe(remote)
            best = self._best(call, local + remote)
        return best

    def _probe(self, upstreams: list[Upstream]) -> Steps[None]:
        """Ask some of them, by chance; those that lately did not answer are not waited for."""
        now = self.clock.now()
        for upstream in upstreams:
            if upstream.stats.is_probe_due(now):
                yield BackgroundProbe(upstream)
        to_probe = [u for u in upstreams if not u.stats.is_unresponsive(now)]
        to_probe = [u for u in to_probe if now - u.stats.load_reported_at > FRESH_REPORT_AGE]
        if len(to_probe) > MAX_PROBED:
            to_probe = self.random.sample(to_probe, MAX_PROBED)
        if to_probe:
            yield Probe(to_probe, PROBE_WAIT)

    def _requirements(self, call: Call) -> CallRequirements:
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
        requirements = self._requirements(call)
        estimates = [
            estimate_cost(requirements, upstream, now)
            for upstream in upstreams
            if upstream.accepts_calls
        ]
        estimates.sort(key=lambda one: one.cost)
        call.considered = estimates[:LOGGED_ESTIMATES] or call.considered
        return estimates[0] if estimates else None
