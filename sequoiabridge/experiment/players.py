"""Ways to choose an upstream: the daemon's own, simple ones to compare with, and an oracle."""

from __future__ import annotations

from collections.abc import Callable

from ..balancing.call import Call
from ..balancing.candidates import Candidates
from ..balancing.choice import Weighed
from ..balancing.chooser import Chooser
from ..balancing.costs import Costs
from ..balancing.evidence import PROMPT
from ..balancing.steps import Ask, Pause, Steps
from ..balancing.upstream import Upstream
from .upstream import ModelUpstream

OWN = "own"
HELD_UNTIL = 1.6
"""Times its work before its target up to which the oracle holds a call."""

ORACLE_LOOK = 0.005
"""Seconds between two looks of the oracle for room."""

SHED_COST = 3.0
"""Times its work that the oracle would rather take than be refused for sure."""

NO_SECOND_ATTEMPT = 1
"""Queue at which no second attempt is made: players that see no queue would make one each time."""

POOL = 5
"""Upstreams that the probe pool asks before each call."""


class Plain(Chooser):
    """Sends each call at once to the upstream that `best` names; holds and refuses nothing."""

    models: dict[str, ModelUpstream]

    def place(self, call: Call) -> Steps[Weighed | None]:
        return (yield from self.choose(call))

    def is_crowded(self, call: Call, weighed: Weighed) -> bool:
        return False

    def choose(self, call: Call) -> Steps[Weighed | None]:
        known = self.candidates.upstreams.of_service(call.service)
        left = [upstream for upstream in known if upstream.id not in call.tried]
        if not left:
            return None
        some = yield from self.some(left)
        return self.plain(call, self.best(call, some))

    def some(self, upstreams: list[Upstream]) -> Steps[list[Upstream]]:
        """Return the upstreams to choose between."""
        yield from ()
        return upstreams

    def best(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        """Return the upstream to send to."""
        return self.random.choice(upstreams)

    def plain(self, call: Call, upstream: Upstream) -> Weighed:
        """Return an upstream as if it had been weighed."""
        work = self.costs.work(call)
        return Weighed(upstream, work, work, 0.0, 0.0, 1.0, NO_SECOND_ATTEMPT, 0.0, 0.0)


class TwoChoices(Plain):
    """The one of two by chance that has fewer of this VM's own calls."""

    def best(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        two = self.random.sample(upstreams, min(2, len(upstreams)))
        return min(two, key=lambda upstream: len(upstream.evidence.open_calls))


class LeastLoad(Plain):
    """The one with the fewest of this VM's own calls."""

    def best(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        shuffled = self.random.sample(upstreams, len(upstreams))
        return min(shuffled, key=lambda upstream: len(upstream.evidence.open_calls))


class ProbePool(Plain):
    """Asks some by chance before each call; takes the one with the least load times slowness."""

    def some(self, upstreams: list[Upstream]) -> Steps[list[Upstream]]:
        some = self.random.sample(upstreams, min(POOL, len(upstreams)))
        yield Ask(some, PROMPT)
        return some

    def best(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        def load(upstream: Upstream) -> float:
            told = upstream.evidence.load
            if told is None:
                return float("inf")
            return told.slowdown * (1.0 + (told.running + told.waiting) / told.slots)

        return min(upstreams, key=load)


class Oracle(Plain):
    """Knows all queues and speeds at the moment: the bound for whoever cannot see the future.

    It never fills an upstream so far that this does less than before. A call that would be late
    leaves the last room of each upstream to others, and is refused where there is no more.
    """

    def place(self, call: Call) -> Steps[Weighed | None]:
        """Return the best upstream as soon as one has room; None, to refuse the call, once it
        could not be in time and would take room from others."""
        latest = call.target_at - HELD_UNTIL * self.costs.work(call)
        while True:
            best = yield from self.choose(call)
            is_late = self.clock.now() > latest
            if best is None or self._has_room(self.models[best.upstream.id], 2 * is_late):
                return best
            if is_late:
                return None
            yield Pause(ORACLE_LOOK)

    def best(self, call: Call, upstreams: list[Upstream]) -> Upstream:
        return min(upstreams, key=self._cost)

    def _has_room(self, model: ModelUpstream, spare: int = 0) -> bool:
        terms, then = model.terms, len(model.running) + len(model.waiting) + 1 + spare
        if then > terms.slots:
            return False
        full = then > terms.full_from * terms.slots
        return not full or then / terms.full_factor > then - 1

    def _cost(self, upstream: Upstream) -> float:
        model = self.models[upstream.id]
        if model.dark:
            return float("inf")
        here, slots = len(model.running) + len(model.waiting), model.terms.slots
        room = 0.0 if self._has_room(model) else 1.0 + max(0, here - slots + 1) / slots
        return model.slow * model.noisy * (1.0 + room) + 0.001 * here + SHED_COST * model.shed


PLAYERS: dict[str, type[Chooser]] = {
    OWN: Chooser,
    "random": Plain,
    "two-choices": TwoChoices,
    "least-load": LeastLoad,
    "probe-pool": ProbePool,
    "oracle": Oracle,
}


def maker(name: str, models: dict[str, ModelUpstream]) -> Callable[..., Chooser]:
    """Return what makes a VM's chooser."""
    kind = PLAYERS[name]

    def make(candidates: Candidates, costs: Costs, vm) -> Chooser:
        chooser = kind(candidates, costs, vm.agenda, vm.random)
        chooser.models = models
        return chooser

    return make
