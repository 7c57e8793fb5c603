"""Outlier ejection: upstreams that fail or are slow get no calls for a while.

An upstream is ejected when it fails much more often than its pool, or is much slower. After the
ejection it is on trial, with one call of this daemon at a time. Each consecutive ejection lasts
twice as long as the one before. Only a share of the pool may be ejected at once.
"""

from __future__ import annotations

from random import Random

from .upstream_state import UpstreamState

BASE_EJECTION_SECONDS = 0.25
"""Minimum duration of a first ejection."""

BASE_EJECTION_CALLS = 200
"""Minimum duration of a first ejection, in calls of this daemon; limits the share of trials."""

MAX_EJECTION_SECONDS = 16.0
"""Maximum duration of an ejection, before jitter."""

MIN_CONSECUTIVE_FAILURES = 3
"""Consecutive failures from which an upstream may be ejected, if its pool does better."""

MIN_FAILURE_SHARE = 0.4
"""Share of failed calls above which an upstream may be ejected."""

MIN_FAILURE_RATIO = 1.5
"""Share of failed calls, as a multiple of the pool's, above which it may be ejected."""

MAX_LATENCY_RATIO = 4.0
"""Latency, as a multiple of the pool's, above which an upstream is ejected."""

MAX_OVERDUE_RATIO = 8.0
"""Age of the oldest call in flight, as a multiple of the pool's latency, above which a slow
upstream is ejected."""

MIN_LATENCY_SAMPLES = 2
"""Minimum number of answers before an upstream may be ejected for its latency."""

TRIAL_LATENCY_RATIO = 3.0
"""Maximum latency of a successful trial call, as a multiple of the pool's."""

TRIAL_ANSWERS = 3
"""Successful trial calls after which the trial ends."""


class Ejector:
    """Ejects outliers among the upstreams of a service; at most a share `cap` of them at once."""

    def __init__(self, cap: float, random: Random):
        self.cap = cap
        self.random = random
        self.count = 0

    def max_ejected(self, total: int) -> int:
        """Return how many of `total` upstreams may be ejected: at least 1 of three or more."""
        if self.cap <= 0.0 or total < 3:
            return 0
        return max(1, int(self.cap * total))

    def should_eject(self, upstream: UpstreamState, now: float) -> bool:
        """Return whether the upstream's failures or latency are outliers in its pool."""
        averages = upstream.averages
        if upstream.consecutive_failures >= MIN_CONSECUTIVE_FAILURES:
            share = upstream.failure_share(now)
            return share > max(MIN_FAILURE_SHARE, MIN_FAILURE_RATIO * averages.failure_share)
        if upstream.samples < MIN_LATENCY_SAMPLES:
            return False
        latency_ratio = upstream.latency_ratio(now)
        return latency_ratio > MAX_LATENCY_RATIO or (
            latency_ratio > 2.0 and upstream.overdue_ratio(now) > MAX_OVERDUE_RATIO
        )

    def eject(self, upstream: UpstreamState, now: float, ejected: int, total: int) -> bool:
        """Eject the upstream and return True, or False if the cap is reached.

        `ejected` of the `total` upstreams are ejected already.
        """
        if ejected >= self.max_ejected(total):
            return False
        min_duration = max(
            BASE_EJECTION_SECONDS, BASE_EJECTION_CALLS * upstream.averages.call_interval
        )
        duration = min(MAX_EJECTION_SECONDS, min_duration * 2**upstream.ejections)
        upstream.ejected_until = now + duration * self.random.uniform(0.75, 1.25)
        upstream.ejections += 1
        upstream.on_trial = True
        upstream.good_trials = 0
        self.count += 1
        return True

    def judge_trial(self, upstream: UpstreamState, now: float, slow: bool) -> bool:
        """Record the answer to a trial call; return whether to eject the upstream again."""
        if slow:
            return True
        upstream.good_trials += 1
        if upstream.good_trials >= TRIAL_ANSWERS:
            upstream.on_trial = False
            upstream.ejections = 0
            upstream.samples = 0
            upstream.last_failure_share = 0.0
            upstream.cold_since = now
        return False
