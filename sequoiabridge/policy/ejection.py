"""When an upstream gets no work for a while, and how it comes back.

An upstream is ejected when it fails much more than the rest of its pool, or is much slower. It
comes back on trial, one call of this daemon at a time, and each ejection in a row lasts twice as
long as the one before. Only a share of the pool is ever ejected.
"""

from __future__ import annotations

from random import Random

from .upstream_state import UpstreamState

BASE_EJECTION_SECONDS = 0.25
"""Seconds of a first ejection, at least."""

BASE_EJECTION_CALLS = 200
"""Calls of this daemon that a first ejection lasts at least: trials spoil few of them."""

MAX_EJECTION_SECONDS = 16.0
"""Seconds that an ejection lasts at most."""

MIN_CONSECUTIVE_FAILURES = 3
"""Failures in a row for which an upstream is ejected, if its pool does better."""

MIN_FAILURE_SHARE = 0.4
"""Share of failures from which an upstream may be ejected."""

MIN_FAILURE_RATIO = 1.5
"""How many times the pool's share of failures an ejected upstream's must be."""

MAX_LATENCY_RATIO = 4.0
"""Latency, as a multiple of the pool's, for which an upstream is ejected."""

MAX_OVERDUE_RATIO = 8.0
"""Age of a call in flight, as a multiple of the pool's latency, for the same."""

MIN_LATENCY_SAMPLES = 2
"""Answers without which an upstream is not ejected for its latency."""

TRIAL_LATENCY_RATIO = 3.0
"""Latency, as a multiple of the pool's, up to which an answer on trial is a good one."""

TRIAL_ANSWERS = 3
"""Good answers in a row that end a trial."""


class Ejector:
    """Ejects upstreams of one service and takes them back; at most `cap` of them at a time."""

    def __init__(self, cap: float, random: Random):
        self.cap = cap
        self.random = random
        self.count = 0

    def max_ejected(self, total: int) -> int:
        """Return how many of `total` upstreams may be out: the cap, but one of three or more."""
        if self.cap <= 0.0 or total < 3:
            return 0
        return max(1, int(self.cap * total))

    def should_eject(self, upstream: UpstreamState, now: float) -> bool:
        """Return whether its failures or its latency stand out from its pool."""
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
        """Eject it unless the cap forbids; `ejected` of `total` upstreams are out already."""
        if ejected >= self.max_ejected(total):
            return False
        first = max(BASE_EJECTION_SECONDS, BASE_EJECTION_CALLS * upstream.averages.call_interval)
        length = min(MAX_EJECTION_SECONDS, first * 2**upstream.ejections)
        upstream.ejected_until = now + length * self.random.uniform(0.75, 1.25)
        upstream.ejections += 1
        upstream.on_trial = True
        upstream.good_trials = 0
        self.count += 1
        return True

    def judge_trial(self, upstream: UpstreamState, now: float, slow: bool) -> bool:
        """Take in an answer of an upstream on trial; return whether it must be ejected again."""
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
