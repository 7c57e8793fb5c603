"""Ways to choose an upstream: the daemon's own, simple ones to compare with, and an oracle."""

from __future__ import annotations

from collections.abc import Callable

from ..balancing.call import Call
from ..balancing.candidates import Candidates
from ..balancing.chooser import Chooser
from ..balancing.cost_model import CostEstimate
from ..balancing.route_stats import Costs
from ..balancing.steps import Probe, Sleep, Steps
from ..balancing.upstream import Upstream
from ..balancing.upstream_stats import PROMPT
from .upstream import ModelUpstream

OWN = "own"
ORACLE_HOLD_FACTOR = 1.6
"""Times its work before its target up to which the oracle holds a call."""

ORACLE_POLL_SECONDS = 0.005
"""Seconds between two looks of the oracle for room."""

ORACLE_SHED_COST = 3.0
"""Times its work that the oracle would rather take than be refused for sure."""

NO_HEDGE_QUEUE = 1
"""Queue at which no second attempt is made: players that see no queue would make one each time."""

PROBE_POOL_SIZE = 5
"""Upstreams that the probe pool asks before each call."""


class BaselineChooser(Chooser):
    """Sends each call at once to the upstream that `pick` names; holds and refuses nothing."""

    models: dict[str, ModelUpstream]

    def place(self, call: Call) -> Steps[CostEstimate | None]:
        return (yield from self.choose(call))

    def lacks_capacity(self, call: Call, estimate: CostEstimate) -> bool:
        return False

    def choose(self, call: Call) -> Steps[CostEstimate | None]:
        upstreams = self.candidates.upstreams.of_service(call.service)
        untried = [upstream for upstream in upstreams if upstream.id not in call.tried]
        if not untried:
            return None
        sample = yield from self.shortlist(untried)
        return self.as_weighed(call, self.pick(call, sample))

    def shortlist(self, upstreams: list[Upstream]) -> Steps[list[Upstream]]:
        """Return the upstreams to choose between."""
        yield from ()
        return upstreams

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        """Return the upstream to send to."""
        return self.random.choice(upstreams)

    def as_weighed(self, call: Call, upstream: Upstream) -> CostEstimate:
        """Return an upstream as if it had been weighed."""
        work = self.costs.work(call)
        return CostEstimate(upstream, work, work, 0.0, 0.0, 1.0, NO_HEDGE_QUEUE, 0.0, 0.0)


class PowerOfTwoChoices(BaselineChooser):
    """The one of two by chance that has fewer of this VM's own calls."""

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        pair = self.random.sample(upstreams, min(2, len(upstreams)))
        return min(pair, key=lambda upstream: len(upstream.evidence.open_calls))


class LeastOutstanding(BaselineChooser):
    """The one with the fewest of this VM's own calls."""

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        shuffled = self.random.sample(upstreams, len(upstreams))
        return min(shuffled, key=lambda upstream: len(upstream.evidence.open_calls))


class ProbePool(BaselineChooser):
    """Asks some by chance before each call; takes the one with the least load times slowness."""

    def shortlist(self, upstreams: list[Upstream]) -> Steps[list[Upstream]]:
        sample = self.random.sample(upstreams, min(PROBE_POOL_SIZE, len(upstreams)))
        yield Probe(sample, PROMPT)
        return sample

    def pick(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        def load(upstream: Upstream) -> float:
            report = upstream.evidence.load
            if report is None:
                return float("inf")
            return report.slowdown * (1.0 + (report.running + report.waiting) / report.slots)

        return min(upstreams, key=load)


class Oracle(BaselineChooser):
    """Knows all queues and speeds at the moment: the bound for whoever cannot see the future.

    It never fills an upstream so far that this does less than before. A call that would be late
    leaves the last room of each upstream to others, and is refused where there is no more.
    """

    def place(self, call: Call) -> Steps[CostEstimate | None]:
        """Return the best upstream as soon as one has room; None, to refuse the call, once it
        could not be in time and would take room from others."""
        latest = call.target_at - ORACLE_HOLD_FACTOR * self.costs.work(call)
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
    """Return what makes a VM's chooser."""
    strategy = STRATEGIES[name]

    def make(candidates: Candidates, costs: Costs, vm) -> Chooser:
        chooser = strategy(candidates, costs, vm.scheduler, vm.random)
        chooser.models = models
        return chooser

    return make
