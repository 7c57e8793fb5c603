"""Adaptive limit on the concurrent calls of a service (additive increase, multiplicative decrease).

The limit is adjusted once per round of calls. A round is congested if many calls failed, or if
calls took both a large share of the time that they had and clearly longer than the base latency.
Requiring both keeps short deadlines or slow work alone from lowering the limit. From time to time a
round runs at half the limit to measure the base latency again. Alternatives are discussed in
`docs/design/limits.md`.
"""

from __future__ import annotations

from math import exp

CONGESTED_TIME_SHARE = 0.25
"""Mean share of the calls' time left at admission above which a slow round is congested."""

CONGESTED_LATENCY_RATIO = 1.5
"""Mean latency, as a multiple of the base latency, above which a round is slow."""

DECREASE_FACTOR = 0.85
"""Factor on the limit after a congested round."""

INCREASE_CALLS = 1.0
"""Number of calls added to the limit after an uncongested round that used it."""

MIN_USED_SHARE = 0.8
"""Share of the limit that must have been in use for it to grow."""

MAX_FAILED_SHARE = 0.1
"""Share of failed calls above which a round is congested."""

MIN_ROUND_CALLS = 32
"""Minimum number of calls in a round."""

BASE_DECAY_SECONDS = 60.0
"""Time constant with which the base latency follows a rise; it follows a fall at once."""

HALVED_ROUND_INTERVAL_SECONDS = 5.0
"""Minimum interval between rounds at half the limit."""


class ConcurrencyLimit:
    """Adaptive concurrency limit; `allowed` is the number of calls that may run.

    Args:
        initial: Initial limit.
        lowest: Minimum limit, so that some calls still run and recovery is noticed.
        highest: Maximum limit.
    """

    def __init__(self, initial: int, lowest: int = 1, highest: int = 1000):
        self.value = float(initial)
        self.lowest = lowest
        self.highest = highest
        self.base_latency: float | None = None
        self.base_updated_at = 0.0
        self.halved = False
        self.last_halved_at = 0.0
        self.start_round()

    @property
    def allowed(self) -> int:
        """Number of calls that may run at a time."""
        return max(self.lowest, int(self.value / 2 if self.halved else self.value))

    def start_round(self) -> None:
        """Reset the counters for a new round."""
        self.answers = 0
        self.failed = 0
        self.peak_running = 0
        self.latency_sum = 0.0
        self.time_share_sum = 0.0

    def record_end(
        self, now: float, latency: float, time_left: float, ok: bool, running: int
    ) -> None:
        """Record the end of a call; adjust the limit at the end of a round.

        Args:
            now: Current time.
            latency: Seconds for which the call ran.
            time_left: Seconds until its deadline when it was admitted.
            ok: Whether it got a usable answer.
            running: Number of running calls, this one included.
        """
        self.peak_running = max(self.peak_running, running)
        if ok:
            self.answers += 1
            self.latency_sum += latency
            self.time_share_sum += min(1.0, latency / max(time_left, 1e-6))
        else:
            self.failed += 1
        if self.answers + self.failed >= max(MIN_ROUND_CALLS, self.allowed):
            self._adjust(now)
            self.start_round()

    def _adjust(self, now: float) -> None:
        congested = self.failed > MAX_FAILED_SHARE * (self.answers + self.failed)
        if self.answers:
            mean = self.latency_sum / self.answers
            self._update_base_latency(mean, now)
            slow = mean > CONGESTED_LATENCY_RATIO * self.base_latency
            congested = congested or (
                slow and self.time_share_sum / self.answers > CONGESTED_TIME_SHARE
            )
        if self.halved:
            self.halved = False
        elif congested:
            self.value = max(self.lowest, self.value * DECREASE_FACTOR)
        elif self.peak_running >= MIN_USED_SHARE * self.allowed:
            self.value = min(self.highest, self.value + INCREASE_CALLS)
            self._start_halved_round(now)

    def _start_halved_round(self, now: float) -> None:
        if (
            now - self.last_halved_at >= HALVED_ROUND_INTERVAL_SECONDS
            and self.value >= 2 * self.lowest
        ):
            self.halved, self.last_halved_at = True, now

    def _update_base_latency(self, mean: float, now: float) -> None:
        if self.base_latency is None or mean < self.base_latency:
            self.base_latency = mean
        else:
            self.base_latency += (1.0 - exp((self.base_updated_at - now) / BASE_DECAY_SECONDS)) * (
                mean - self.base_latency
            )
        self.base_updated_at = now
