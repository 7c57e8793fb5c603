"""Chooses the upstream of a call: probes some candidates and takes the one of the lowest cost."""

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
"""Maximum number of upstreams probed before a call."""

FRESH_REPORT_AGE = 0.02
"""Age in seconds up to which a load report is used without a new probe."""

MIN_REMOTE_GAIN = 0.12
"""Minimum amount by which the cost of the best local upstream must exceed the transfer cost before
remote upstreams are probed. Probes between data centres have a cost as well."""

HOLD_SHARE = 0.125
"""Maximum time for which a call is held while no upstream has capacity, as a share of the target
latency."""

HOLD_POLL_INTERVAL = 0.01
"""Seconds between checks for capacity while a call is held."""

LOGGED_ESTIMATES = 3
"""Maximum number of cost estimates logged per choice."""


class Chooser:
    """Chooses upstreams for calls.

    Args:
        candidates: Selects the upstreams to choose from.
        route_stats: Estimates a call's work and the cost of transferring it.
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
        """Return an upstream with capacity for a new call, None if the service has no upstream.

        The call is held for a short time while all upstreams lack capacity.

        Raises:
            Refusal: No upstream had capacity in that time.
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
        """Return whether a chosen upstream lacks capacity for the call."""
        return lacks_capacity(self._requirements(call), estimate)

    def choose(self, call: Call) -> Steps[CostEstimate | None]:
        """Return the best upstream that the call has not been sent to, None if there is none."""
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
        """Probe a random sample; do not wait for upstreams that are currently unresponsive."""
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
