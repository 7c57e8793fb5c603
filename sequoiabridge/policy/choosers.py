"""Strategies for choosing an upstream: a scoring one (`evidence`) and baselines for comparison."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from heapq import nsmallest
from random import Random

from ..exceptions import ConfigurationError
from .base import Chooser, ScoredUpstream
from .upstream_state import UpstreamState

MAX_JITTER_SHARE = 0.1
"""Maximum random share added to a score, so that daemons with equal reports choose differently."""

OVERDUE_FREE_RATIO = 2.0
"""Age of the oldest call in flight, as a multiple of the pool's latency, that costs nothing."""

OVERDUE_COST = 0.5
"""Cost of the oldest call's excess age per multiple of the pool's latency, in calls per slot."""

MAX_OVERDUE_RATIO = 20.0
"""Maximum excess age that counts, as a multiple of the pool's latency; uploads may take long."""

FAILURE_COST = 6.0
"""Cost of failing every call in a pool without failures, in calls per slot."""

IGNORED_FAILURE_SHARE = 0.1
"""Excess over the pool's share of failed calls that costs nothing, to forget old failures."""

SHED_COST = 4.0
"""Cost while the upstream is backing off after shedding a request, in calls per slot."""

SUSPECT_COST = 1.0
"""Cost of being suspected by other VMs, in calls per slot."""

ROUNDING_FACTOR = 1.0 - 1e-9
"""Keeps the lower bound of a score below the score despite rounding errors."""

SLOW_LATENCY_RATIO = 2.0
"""Latency, as a multiple of the pool's, above which an upstream counts as slow."""


def untried(candidates: Sequence[UpstreamState], tried: Collection[str]) -> Sequence[UpstreamState]:
    """Return the candidates that the call has not been sent to, or all if it was sent to each."""
    if not tried:
        return candidates
    return [c for c in candidates if c.name not in tried] or candidates


class EvidenceChooser(Chooser):
    """Chooses the lowest score of load, latency, overdue calls and failures."""

    def choose(
        self,
        candidates: Sequence[UpstreamState],
        now: float,
        random: Random,
        tried: Collection[str] = (),
    ) -> UpstreamState | None:
        best, lowest = None, float("inf")
        draw, spread, rounding = random.random, MAX_JITTER_SHARE, ROUNDING_FACTOR
        for candidate in untried(candidates, tried):
            factor = 1.0 + spread * draw()
            slots = candidate.slots
            other_calls = candidate.averages.other_load * slots
            if candidate.other_calls < other_calls:
                other_calls = candidate.other_calls
            # A lower bound that is cheaper than the score: the estimate of other daemons' calls
            # lies between the report and the average, and all other terms add to the score.
            lower_bound = (other_calls + len(candidate.start_times) + 1.0) / slots
            if lower_bound * factor * rounding > lowest:
                continue
            score = self.score(candidate, now) * factor
            if score < lowest:
                best, lowest = candidate, score
        return best

    def shortlist(
        self,
        candidates: Sequence[UpstreamState],
        now: float,
        count: int,
        tried: Collection[str] = (),
    ) -> Sequence[UpstreamState]:
        return nsmallest(count, untried(candidates, tried), key=lambda c: self.score(c, now))

    def score(self, upstream: UpstreamState, now: float) -> float:
        """Return the cost of sending one more call to the upstream; the lowest is chosen."""
        cost = upstream.load(now) + 1.0 / upstream.slots
        if upstream.samples and upstream.latency > SLOW_LATENCY_RATIO * upstream.averages.latency:
            cost *= max(1.0, upstream.latency_ratio(now) / SLOW_LATENCY_RATIO)
        if upstream.start_times:
            late = upstream.overdue_ratio(now) - OVERDUE_FREE_RATIO
            if late > 0.0:
                cost += OVERDUE_COST * min(late, MAX_OVERDUE_RATIO)
        if upstream.last_failure_share:
            more = upstream.failure_share(now) - upstream.averages.failure_share
            if more > IGNORED_FAILURE_SHARE:
                cost += FAILURE_COST * more
        if upstream.shed_until > now:
            cost += SHED_COST
        if upstream.suspected:
            cost += SUSPECT_COST
        return cost

    def explain(self, candidates: Sequence[UpstreamState], now: float) -> list[ScoredUpstream]:
        scored = [
            ScoredUpstream(c.name, self.score(c, now), self.detail(c, now)) for c in candidates
        ]
        return sorted(scored, key=lambda w: w.score)

    def detail(self, upstream: UpstreamState, now: float) -> str:
        """Return the inputs of a score in one line."""
        age = now - upstream.report_at
        report = "no report"
        if upstream.report is not None:
            report = f"report {upstream.report.in_flight} of {age * 1000:.0f} ms ago"
        return (
            f"{report}, trust {upstream.trust:.2f}, own {upstream.in_flight}, "
            f"latency {upstream.latency_ratio(now):.1f}x the pool's, "
            f"oldest call {upstream.overdue_ratio(now):.1f}x, "
            f"failures {upstream.failure_share(now):.0%}"
        )


class RandomChooser(Chooser):
    """Baseline: a random candidate."""

    def choose(self, candidates, now, random, tried=()):
        candidates = untried(candidates, tried)
        return random.choice(candidates) if candidates else None


class RoundRobinChooser(Chooser):
    """Baseline: the candidates in turn."""

    def __init__(self):
        self.turn: int | None = None

    def choose(self, candidates, now, random, tried=()):
        candidates = untried(candidates, tried)
        if not candidates:
            return None
        if self.turn is None:
            self.turn = random.randrange(len(candidates))
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastOwnChooser(Chooser):
    """Baseline: the fewest of this daemon's own calls in flight; ties are broken at random."""

    def choose(self, candidates, now, random, tried=()):
        candidates = untried(candidates, tried)
        if not candidates:
            return None
        least = min(c.in_flight for c in candidates)
        return random.choice([c for c in candidates if c.in_flight == least])


class TwoChoicesChooser(Chooser):
    """Baseline: of two random candidates, the one with fewer of this daemon's calls in flight."""

    def choose(self, candidates, now, random, tried=()):
        candidates = untried(candidates, tried)
        if not candidates:
            return None
        first, second = random.choice(candidates), random.choice(candidates)
        return first if first.in_flight <= second.in_flight else second


CHOOSERS: dict[str, type[Chooser]] = {
    "evidence": EvidenceChooser,
    "random": RandomChooser,
    "round-robin": RoundRobinChooser,
    "least-own": LeastOwnChooser,
    "two-choices": TwoChoicesChooser,
}
"""Choosers by their name in the service option `chooser`."""


def chooser_named(name: str) -> Chooser:
    """Return a new chooser.

    Raises:
        ConfigurationError: No chooser has that name.
    """
    kind = CHOOSERS.get(name)
    if kind is None:
        known = ", ".join(sorted(CHOOSERS))
        raise ConfigurationError(f"unknown chooser {name!r}; expected one of: {known}")
    return kind()
