"""How many calls of a service one daemon lets run at a time, adapted to what they meet.

Additive increase, multiplicative decrease, judged once a round. A round is crowded when its calls
took a large part of the time they had, and clearly longer than calls need when few run; both must
hold, so that neither tight windows nor slow work alone shrink the limit. Now and then one round
runs at half the limit to learn anew how long calls need. `docs/design/limits.md` has the
alternatives.
"""

from __future__ import annotations

from math import exp

CROWDED_SHARE = 0.25
"""Mean part of the time left to a call, when admitted, from which a round may be crowded."""

CROWDED_LATENCY = 1.5
"""Mean latency, as a multiple of the base, from which a round may be crowded."""

DECREASE = 0.85
"""Factor on the limit after a bad round."""

INCREASE = 1.0
"""Calls by which the limit grows after a good round that used it."""

IN_USE = 0.8
"""Share of the limit that must run for it to grow."""

FAILED_SHARE = 0.1
"""Share of failed calls that makes a round a bad one."""

FEWEST_ANSWERS = 32
"""Answers that make a round at least."""

BASE_FADE = 60.0
"""Seconds in which the base follows a lasting rise by 63%; a fall it follows at once."""

HALF_EVERY = 5.0
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
        self.base: float | None = None
        self.base_at = 0.0
        self.halved = False
        self.halved_at = 0.0
        self.start_round()

    @property
    def allowed(self) -> int:
        """How many calls may run at a time."""
        return max(self.lowest, int(self.value / 2 if self.halved else self.value))

    def start_round(self) -> None:
        """Forget the counts of the last round."""
        self.answers = 0
        self.failed = 0
        self.peak = 0
        self.latency = 0.0
        self.share = 0.0

    def ended(self, now: float, latency: float, time_left: float, ok: bool, running: int) -> None:
        """A call ended; judge the round when it is full.

        Args:
            now: Present time.
            latency: Seconds that it ran.
            time_left: Seconds that it had when it was admitted.
            ok: It got a usable answer.
            running: Calls that ran, it included.
        """
        self.peak = max(self.peak, running)
        if ok:
            self.answers += 1
            self.latency += latency
            self.share += min(1.0, latency / max(time_left, 1e-6))
        else:
            self.failed += 1
        if self.answers + self.failed >= max(FEWEST_ANSWERS, self.allowed):
            self._judge(now)
            self.start_round()

    def _judge(self, now: float) -> None:
        crowded = self.failed > FAILED_SHARE * (self.answers + self.failed)
        if self.answers:
            mean = self.latency / self.answers
            self._learn_base(mean, now)
            slow = mean > CROWDED_LATENCY * self.base
            crowded = crowded or (slow and self.share / self.answers > CROWDED_SHARE)
        if self.halved:
            self.halved = False
        elif crowded:
            self.value = max(self.lowest, self.value * DECREASE)
        elif self.peak >= IN_USE * self.allowed:
            self.value = min(self.highest, self.value + INCREASE)
            self._halve_sometimes(now)

    def _halve_sometimes(self, now: float) -> None:
        if now - self.halved_at >= HALF_EVERY and self.value >= 2 * self.lowest:
            self.halved, self.halved_at = True, now

    def _learn_base(self, mean: float, now: float) -> None:
        if self.base is None or mean < self.base:
            self.base = mean
        else:
            self.base += (1.0 - exp((self.base_at - now) / BASE_FADE)) * (mean - self.base)
        self.base_at = now
