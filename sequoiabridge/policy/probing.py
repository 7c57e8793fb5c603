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
        chosen = self._worth_a_probe(pool, now)[: int(self.tokens)]
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

    def _worth_a_probe(self, pool: PoolState, now: float) -> list[UpstreamEvidence]:
        """Return suspects first, then the upstreams whose evidence is old, oldest first."""
        suspects, old = [], []
        for upstream in pool.probe_candidates():
            gap = now - upstream.probed_at
            if pool.suspect(upstream, now):
                if gap >= SUSPECT_GAP:
                    suspects.append(upstream)
            elif gap >= LEAST_GAP and now - upstream.report_at >= self.worth_age:
                old.append(upstream)
        suspects.sort(key=_age)
        old.sort(key=_age)
        return suspects + old


def _age(upstream: UpstreamEvidence) -> float:
    return max(upstream.report_at, upstream.probed_at)
