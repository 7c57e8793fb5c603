"""Chooses which upstreams to probe; a token bucket that calls fill limits the number of probes.

Probes of the best candidates right before a choice gain most (`docs/design/choosing.md`).
Background probes go to suspects and to upstreams with old load reports.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from .pool import SAMPLE_SIZE, UNSAMPLED_POOL_SIZE, PoolState
from .suspicions import is_local_suspect
from .upstream_state import UpstreamState

MAX_TOKENS = 8.0
"""Capacity of the token bucket, in probes."""

RESERVED_TOKENS = 6
"""Tokens that background probes leave for probes before a choice."""

MIN_CHOICE_PROBES, MAX_CHOICE_PROBES = 3, 5
"""Bounds of the number of upstreams probed before one choice."""

MIN_STALE_SECONDS, MAX_STALE_SECONDS = 0.001, 2.0
"""Report age from which the best candidates are probed before a choice, at `tail_weight` 1 and 0;
the latter also applies to background probes."""

MAX_ROUND_TRIP_SHARE = 0.3
"""Maximum round trip, as a share of the pool's latency, for which a choice waits for probes."""

INITIAL_ROUND_TRIP_SECONDS = 0.002
"""Assumed round trip before the first probe is answered."""

ROUND_TRIP_WEIGHT = 0.1
"""Weight of the newest round trip in the moving average."""

PROBE_INTERVAL_SECONDS = 0.1
"""Minimum interval between a probe and the next background probe of the same upstream."""


class ProbeBudget:
    """Token bucket for the probes of one service, and counters of what they cost.

    Args:
        per_1000: Probes allowed per 1,000 calls.
        tail_weight: 0 favours few probes, 1 favours low tail latency.

    Attributes:
        calls, probes: Totals since the start.
        bytes: Bytes sent and received by probes.
        upstream_time: Seconds that upstreams spent on probes, as far as known.
    """

    def __init__(self, per_1000: float, tail_weight: float):
        self.configure(per_1000, tail_weight)
        self.round_trip = INITIAL_ROUND_TRIP_SECONDS
        self.tokens = 0.0
        self.calls = 0
        self.probes = 0
        self.bytes = 0
        self.upstream_time = 0.0

    def configure(self, per_1000: float, tail_weight: float) -> None:
        """Apply changed service options; tokens and counters stay."""
        self.per_call = per_1000 / 1000.0
        self.choice_probes = min(MAX_CHOICE_PROBES, max(MIN_CHOICE_PROBES, round(self.per_call)))
        self.stale_age = MAX_STALE_SECONDS * (MIN_STALE_SECONDS / MAX_STALE_SECONDS) ** min(
            1.0, max(0.0, tail_weight)
        )

    def record_calls(self, calls: int, now: float) -> None:
        """Count calls, and add the tokens that they allow."""
        self.calls += calls
        self.tokens = min(MAX_TOKENS, self.tokens + calls * self.per_call)

    def choice_targets(self, pool: PoolState, now: float, tried: Collection[str] = ()) -> list[str]:
        """Return the upstreams to probe before the next choice; wait at most `wait_timeout()`."""
        if (
            self.tokens < self.choice_probes
            or self.round_trip > MAX_ROUND_TRIP_SHARE * pool.averages.latency
        ):
            return []
        best = pool.shortlist(now, self.choice_probes, tried)
        if len(best) < 2 or now - min(u.report_at for u in best) < self.stale_age:
            return []
        return self._take(best, now)

    def wait_timeout(self) -> float:
        """Return the seconds to wait for the answers of `choice_targets`."""
        return 2.0 * self.round_trip

    def background_targets(self, pool: PoolState, now: float) -> list[str]:
        """Return the upstreams to probe in the background: suspects, then the oldest reports."""
        available = int(self.tokens) - RESERVED_TOKENS
        if available < 1:
            return []
        return self._take(self._probe_candidates(pool, now)[:available], now)

    def take_token(self) -> bool:
        """Take a token for any other probe; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.probes += 1
        return True

    def record_answer(self, elapsed: float, size: int, upstream_time: float = 0.0) -> None:
        """Record an answered probe: round trip, bytes both ways, seconds spent by the upstream."""
        self.round_trip += ROUND_TRIP_WEIGHT * (elapsed - self.round_trip)
        self.record_cost(size, upstream_time)

    def record_cost(self, size: int, upstream_time: float = 0.0) -> None:
        """Count the cost of a probe, answered or not."""
        self.bytes += size
        self.upstream_time += upstream_time

    def dump(self, now: float) -> dict:
        """Return the cost per 1,000 calls for operators."""
        per = 1000.0 / max(1, self.calls)
        return {
            "tokens": round(self.tokens, 2),
            "round trip ms": round(self.round_trip * 1000, 2),
            "probes per 1000 calls": round(self.probes * per, 2),
            "bytes per 1000 calls": round(self.bytes * per, 1),
            "upstream ms per 1000 calls": round(self.upstream_time * 1000 * per, 3),
        }

    def _take(self, upstreams: Sequence[UpstreamState], now: float) -> list[str]:
        for upstream in upstreams:
            upstream.probed_at = now
        self.tokens -= len(upstreams)
        self.probes += len(upstreams)
        return [upstream.name for upstream in upstreams]

    def _probe_candidates(self, pool: PoolState, now: float) -> list[UpstreamState]:
        suspects, stale = [], []
        for upstream in _candidates(pool):
            if now - upstream.probed_at < PROBE_INTERVAL_SECONDS:
                continue
            if upstream.suspected or is_local_suspect(upstream, now):
                suspects.append(upstream)
            elif now - upstream.report_at >= MAX_STALE_SECONDS:
                stale.append(upstream)
        suspects.sort(key=_last_report_at)
        stale.sort(key=_last_report_at)
        return suspects + stale


def _last_report_at(upstream: UpstreamState) -> float:
    return max(upstream.report_at, upstream.probed_at)


def _candidates(pool: PoolState) -> Sequence[UpstreamState]:
    """Return the upstreams that may be probed: all, or a sample of a large pool."""
    undrained = pool.undrained_upstreams()
    return (
        undrained
        if len(undrained) <= UNSAMPLED_POOL_SIZE
        else pool.random.sample(undrained, SAMPLE_SIZE)
    )
