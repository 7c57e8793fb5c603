"""Which upstreams to probe, paid from a token bucket that the calls of a service fill.

A probe that is not paid is not sent. Suspects come first (a probe costs less than a call that a
straggler spoils), then, as far as the service's `tail_weight` says, the oldest evidence.
"""

from __future__ import annotations

from .evidence import UpstreamEvidence
from .pool import PoolState

BURST = 8.0
"""Probes that may be saved up."""

LEAST_GAP = 0.01
"""Seconds between two probes of one upstream by this daemon, at least."""

SUSPECT_GAP = 0.1
"""Seconds between two probes of an ejected upstream, at least."""

YOUNGEST, OLDEST = 0.005, 2.0
"""Seconds of age from which evidence is worth a probe, at `tail_weight` 1 and 0."""


class ProbeBudget:
    """Pays probes of one service and counts what they cost.

    Attributes:
        calls, probes: Counted since the start.
        bytes: Bytes sent and received by probes.
        upstream_time: Seconds that upstreams spent on probes, as far as known.
    """

    def __init__(self, per_1000: float, tail_weight: float):
        self.per_call = per_1000 / 1000.0
        self.worth_age = OLDEST * (YOUNGEST / OLDEST) ** min(1.0, max(0.0, tail_weight))
        self.tokens = 0.0
        self.calls = 0
        self.probes = 0
        self.bytes = 0
        self.upstream_time = 0.0

    def earned(self, calls: int, now: float) -> None:
        """Calls came in: they pay for probes."""
        self.calls += calls
        self.tokens = min(BURST, self.tokens + calls * self.per_call)

    def next_targets(self, pool: PoolState, now: float) -> list[str]:
        """Return the names of the upstreams to probe now, and take the tokens for them."""
        if self.tokens < 1.0:
            return []
        ranked = sorted(self._candidates(pool, now), reverse=True)
        chosen = [
            upstream
            for _, upstream in zip(range(int(self.tokens)), _unranked(ranked), strict=False)
        ]
        for upstream in chosen:
            upstream.probed_at = now
        self.tokens -= len(chosen)
        self.probes += len(chosen)
        return [upstream.name for upstream in chosen]

    def spent(self, size: int, upstream_time: float) -> None:
        """A probe's bytes (both ways) and the upstream's seconds for it are known."""
        self.bytes += size
        self.upstream_time += upstream_time

    def dump(self, now: float) -> dict:
        """Describe the spend per 1,000 calls."""
        per = 1000.0 / max(1, self.calls)
        return {
            "tokens": round(self.tokens, 2),
            "probes per 1000 calls": round(self.probes * per, 2),
            "bytes per 1000 calls": round(self.bytes * per, 1),
            "upstream ms per 1000 calls": round(self.upstream_time * 1000 * per, 3),
        }

    def _candidates(
        self, pool: PoolState, now: float
    ) -> list[tuple[bool, float, int, UpstreamEvidence]]:
        """Return (suspect, age of evidence, number, upstream) of those worth a probe."""
        worth = []
        for number, upstream in enumerate(pool.probe_candidates()):
            gap = now - upstream.probed_at
            if gap < LEAST_GAP:
                continue
            suspect = pool.suspect(upstream, now)
            age = now - max(upstream.report_at, upstream.probed_at)
            if suspect and gap >= SUSPECT_GAP or not suspect and age >= self.worth_age:
                worth.append((suspect, age, number, upstream))
        return worth


def _unranked(ranked: list[tuple[bool, float, int, UpstreamEvidence]]) -> list[UpstreamEvidence]:
    return [upstream for _, _, _, upstream in ranked]
