"""Balancing strategies: the daemon's own, simple baselines to compare with, and an oracle."""

from __future__ import annotations

from collections.abc import Callable

from ..balancing.call import Call
from ..balancing.candidates import Candidates
from ..balancing.chooser import Acceptance, Chooser, accept_any
from ..balancing.cost_model import CostEstimate
from ..balancing.route_stats import RouteStats
from ..balancing.steps import Probe, Sleep, Steps
from ..balancing.upstream import Upstream
from ..balancing.upstream_stats import PROBE_WAIT
from .upstream import ModelUpstream

OWN = "own"
"""The daemon's own strategy."""

ORACLE_HOLD_FACTOR = 1.6
"""The oracle holds a call until this multiple of its work time is left before its target."""

ORACLE_POLL_SECONDS = 0.005
"""Interval at which the oracle checks a held call for free capacity."""

ORACLE_SHED_COST = 3.0
"""Cost of an upstream that rejects all calls, as a multiple of the work time of a call."""

NO_HEDGE_QUEUE_POSITION = 1
"""Queue position in the estimates of the baselines; prevents hedges, which need a free slot."""

PROBE_POOL_SIZE = 5
"""Number of upstreams that the probe pool probes before each call."""


class BaselineChooser(Chooser):
    """Sends each call to the upstream that `pick` returns, a random one by default.

    Calls are neither held nor refused.
    """

    models: dict[str, ModelUpstream]

    def choose_or_hold(self, call: Call) -> Steps[CostEstimate | None]:
        return (yield from self.choose(call))

    def lacks_capacity(self, call: Call, estimate: CostEstimate) -> bool:
        return False

    def choose(
        self, call: Call, is_acceptable: Acceptance = accept_any
    ) -> Steps[CostEstimate | None]:
        # The model's upstreams have no limits, so that no permit depends on acceptance.
        upstreams = self.candidates.upstreams.for_service(call.service)
        untried = [upstream for upstream in upstreams if upstream.id not in call.tried_ids]
        if not untried:
            return None
        sample = yield from self.shortlist(untried)
        return self.as_estimate(call, self.pick(call, sample))

    def shortlist(self, upstreams: list[Upstream]) -> Steps[list[Upstream]]:
        """Return the upstreams to pick from."""
        yield from ()
        return upstreams

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        """Return the upstream to send to."""
        return self.random.choice(upstreams)

    def as_estimate(self, call: Call, upstream: Upstream) -> CostEstimate:
        """Return an estimate for an upstream with placeholder values."""
        work = self.route_stats.work(call)
        return CostEstimate(upstream, work, work, 0.0, 0.0, 1.0, NO_HEDGE_QUEUE_POSITION, 0.0, 0.0)


class PowerOfTwoChoices(BaselineChooser):
    """Picks the one of two random upstreams with fewer calls of this VM in flight."""

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        pair = self.random.sample(upstreams, min(2, len(upstreams)))
        return min(pair, key=lambda upstream: len(upstream.stats.open_calls))


class LeastOutstanding(BaselineChooser):
    """Picks the upstream with the fewest calls of this VM in flight."""

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        shuffled = self.random.sample(upstreams, len(upstreams))
        return min(shuffled, key=lambda upstream: len(upstream.stats.open_calls))


class ProbePool(BaselineChooser):
    """Probes random upstreams before each call; picks the lowest product of load and slowdown."""

    def shortlist(self, upstreams: list[Upstream]) -> Steps[list[Upstream]]:
        sample = self.random.sample(upstreams, min(PROBE_POOL_SIZE, len(upstreams)))
        yield Probe(sample, PROBE_WAIT)
        return sample

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        def load(upstream: Upstream) -> float:
            report = upstream.stats.load
            if report is None:
                return float("inf")
            return report.slowdown * (1.0 + (report.running + report.waiting) / report.slots)

        return min(upstreams, key=load)


class Oracle(BaselineChooser):
    """Reads the current queue and speed of all upstreams; a bound for what is possible without
    knowing the future.

    It never fills an upstream beyond its peak throughput. A call that would be late leaves the last
    free capacity of each upstream to other calls, and is refused if there is no more.
    """

    def choose_or_hold(self, call: Call) -> Steps[CostEstimate | None]:
        """Return the best upstream as soon as one has capacity.

        Return None, which refuses the call, if it can no longer be in time and no upstream has
        capacity to spare.
        """
        latest = call.late_at - ORACLE_HOLD_FACTOR * self.route_stats.work(call)
        while True:
            best = yield from self.choose(call)
            is_late = self.clock.now() > latest
            if best is None or self._has_capacity(self.models[best.upstream.id], 2 * is_late):
                return best
            if is_late:
                return None
            yield Sleep(ORACLE_POLL_SECONDS)

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        return min(upstreams, key=self._cost)

    def _has_capacity(self, model: ModelUpstream, spare: int = 0) -> bool:
        """Return whether one more call and `spare` others get slots without loss of throughput."""
        service, occupied = model.service, len(model.running) + len(model.waiting) + 1 + spare
        if occupied > service.slots:
            return False
        full = occupied > service.full_from * service.slots
        return not full or occupied / service.full_factor > occupied - 1

    def _cost(self, upstream: Upstream) -> float:
        model = self.models[upstream.id]
        if model.unresponsive:
            return float("inf")
        occupied, slots = len(model.running) + len(model.waiting), model.service.slots
        overload = 0.0 if self._has_capacity(model) else 1.0 + max(0, occupied - slots + 1) / slots
        return (
            model.fault_slowdown * model.neighbour_slowdown * (1.0 + overload)
            + 0.001 * occupied
            + ORACLE_SHED_COST * model.shed_share
        )


STRATEGIES: dict[str, type[Chooser]] = {
    OWN: Chooser,
    "random": BaselineChooser,
    "two-choices": PowerOfTwoChoices,
    "least-load": LeastOutstanding,
    "probe-pool": ProbePool,
    "oracle": Oracle,
}


def chooser_factory(name: str, models: dict[str, ModelUpstream]) -> Callable[..., Chooser]:
    """Return a function that creates the chooser of a VM."""
    strategy = STRATEGIES[name]

    def make(candidates: Candidates, route_stats: RouteStats, vm) -> Chooser:
        chooser = strategy(candidates, route_stats, vm.scheduler, vm.random)
        chooser.models = models
        return chooser

    return make
