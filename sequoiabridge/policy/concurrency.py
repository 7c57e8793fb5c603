"""How many calls of a service one daemon lets run at a time, adapted to what they meet.

Additive increase, multiplicative decrease, judged once a round. A round is crowded when its calls
took a large part of the time they had, and clearly longer than calls need when few run; both must
hold, so that neither tight windows nor slow work alone shrink the limit. Now and then one round
runs at half the limit to learn anew how long calls need. `docs/design/limits.md` has the
alternatives.
"""

from __future__ import annotations

from math import exp

CONGESTED_TIME_SHARE = 0.25
"""Mean part of the time left to a call, when admitted, from which a round may be crowded."""

CONGESTED_LATENCY_RATIO = 1.5
"""Mean latency, as a multiple of the base, from which a round may be crowded."""

DECREASE_FACTOR = 0.85
"""Factor on the limit after a bad round."""

INCREASE_CALLS = 1.0
"""Calls by which the limit grows after a good round that used it."""

MIN_USED_SHARE = 0.8
"""Share of the limit that must run for it to grow."""

MAX_FAILED_SHARE = 0.1
"""Share of failed calls that makes a round a bad one."""

MIN_ROUND_CALLS = 32
"""Answers that make a round at least."""

BASE_DECAY_SECONDS = 60.0
"""Seconds in which the base follows a lasting rise by 63%; a fall it follows at once."""

HALVED_ROUND_INTERVAL_SECONDS = 5.0
"""Seconds between rounds at half the limit."""


class ConcurrencyLimit:
    """The adaptive limit; `allowed` is the number of calls that may run.

    Args:
        initial: Limit at the start.
        lowest: It never falls under this, so that recovery is noticed.
        highest: It never grows over this.
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
        """How many calls may run at a time."""
        return max(self.lowest, int(self.value / 2 if self.halved else self.value))

    def start_round(self) -> None:
        """Forget the counts of the last round."""
        self.answers = 0
        self.failed = 0
        self.peak_running = 0
        self.latency_sum = 0.0
        self.time_share_sum = 0.0

    def record_end(
        self, now: float, latency: float, time_left: float, ok: bool, running: int
    ) -> None:
        """A call ended; judge the round when it is full.

        Args:
            now: Present time.
            latency: Seconds that it ran.
            time_left: Seconds that it had when it was admitted.
            ok: It got a usable answer.
            running: Calls that ran, it included.
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
