"""When a call may be tried again, when it is hedged, and how much of either the fleet affords.

The budget counts retries (hedges too) against successes over a sliding window, with what other
VMs say of theirs, so that the fleet together keeps the ratio: a pool that fails whole yields no
successes, and so no retries.
"""

from __future__ import annotations

from typing import Protocol

from .quantiles import LatencyHistogram

PERIOD_SECONDS = 1.0
"""Seconds that are counted and told together."""

WINDOW_PERIODS = 10
"""Periods that the budget looks back over, the present one included."""

MIN_FLEET_RETRIES = 10
"""Retries that the fleet may make in a window in which hardly any call came."""

MIN_PERIOD_RETRIES = 1
"""Retries that each VM may make in a period whatever the ratio says: a little traffic earns hardly
anything, and one retry a second and VM is no storm."""

PERIOD_SPEND_SHARE = 0.25
"""Share of the room that the VMs spend in a period.

They learn of each other's spending a period late; a quarter is the most that never overshoots.
"""

MAX_HEDGE_QUANTILE, MIN_HEDGE_QUANTILE = 0.99, 0.9
"""Share of calls that are answered before a hedge is sent, at `tail_weight` 0 and 1."""

MIN_HEDGE_SECONDS = 0.005
"""Seconds before which no hedge is sent."""

DEFAULT_HEDGE_SECONDS = 0.1
"""Seconds to a hedge while too few latencies are known."""

MIN_HEDGE_SAMPLES = 50
"""Latencies without which the default holds."""

MAX_ATTEMPTS = 3
"""Attempts at a call, the first and hedges included."""

MIN_ATTEMPT_SECONDS = 0.005
"""Seconds that must be left for another attempt."""


class PeriodCount:
    """Retries and successes of one VM in one period, known since `at`."""

    __slots__ = ("period", "at", "retries", "successes")

    def __init__(self, period: int, at: float, retries: int = 0, successes: int = 0):
        self.period = period
        self.at = at
        self.retries = retries
        self.successes = successes


class RetryReport:
    """What a VM tells the others: its counts of the period that ended last."""

    __slots__ = ("period", "retries", "successes")

    def __init__(self, period: int, retries: int, successes: int):
        self.period = period
        self.retries = retries
        self.successes = successes


class RetryBudget:
    """Retries of one service as a share of successes, over all VMs that were heard lately.

    At the start of each period the room left in the fleet's budget is shared out between the
    VMs; what a VM's own successes earn in the period is its own.

    Args:
        ratio: Retries for each success.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.own: list[PeriodCount] = []
        self.peers: dict[str, list[PeriodCount]] = {}
        self.grant = 0.0
        self.refused = 0

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False if there is none left."""
        count = self._current(now)
        earned = self.grant + self.ratio * count.successes
        first = MIN_FLEET_RETRIES / (1 + len(self.peers))
        spent = count.retries >= MIN_PERIOD_RETRIES and count.retries + 1 > earned
        if spent and sum(c.retries for c in self.own) >= first:
            self.refused += 1
            return False
        count.retries += 1
        return True

    def record_success(self, now: float) -> None:
        """A call was answered well."""
        self._current(now).successes += 1

    def record_peer_counts(
        self, vm: str, period: int, retries: int, successes: int, now: float
    ) -> None:
        """Another VM's counts of one of its periods; an old or repeated word changes nothing."""
        counts = self.peers.setdefault(vm, [])
        if retries < 0 or successes < 0 or (counts and period <= counts[-1].period):
            return
        counts.append(PeriodCount(period, now, retries, successes))

    def report(self, now: float) -> RetryReport | None:
        """Return the counts of the last whole period for the other VMs, or None if all are 0."""
        last = self._current(now).period - 1
        for count in self.own:
            if count.period == last and (count.retries or count.successes):
                return RetryReport(last, count.retries, count.successes)
        return None

    def dump(self, now: float) -> dict:
        """Describe the state for operators."""
        self._current(now)
        peer_counts = [count for counts in self.peers.values() for count in counts]
        return {
            "ratio": self.ratio,
            "granted this period": round(self.grant, 1),
            "own retries": sum(c.retries for c in self.own),
            "own successes": sum(c.successes for c in self.own),
            "other VMs' retries": sum(c.retries for c in peer_counts),
            "other VMs' successes": sum(c.successes for c in peer_counts),
            "vms heard": len(self.peers),
            "refused": self.refused,
        }

    def _current(self, now: float) -> PeriodCount:
        """Return the count of the present period; on a new one, share out the room."""
        period = int(now / PERIOD_SECONDS)
        if self.own and self.own[-1].period == period:
            return self.own[-1]
        self._drop_expired(now)
        counts = self.own + [count for counts in self.peers.values() for count in counts]
        room = sum(self.ratio * c.successes - c.retries for c in counts)
        self.grant = max(0.0, PERIOD_SPEND_SHARE * room / (1 + len(self.peers)))
        self.own.append(PeriodCount(period, now))
        return self.own[-1]

    def _drop_expired(self, now: float) -> None:
        oldest = now - WINDOW_PERIODS * PERIOD_SECONDS
        self.own = [c for c in self.own if c.at > oldest]
        kept = {vm: [c for c in counts if c.at > oldest] for vm, counts in self.peers.items()}
        self.peers = {vm: counts for vm, counts in kept.items() if counts}


def hedge_delay(latencies: LatencyHistogram, tail_weight: float) -> float:
    """Return the seconds of silence after which an idempotent call is hedged.

    The delay is the latency that most calls stay under: 99% at `tail_weight` 0, where a hedge's
    extra work counts most, down to 90% at 1, where the tail does.
    """
    if latencies.total < MIN_HEDGE_SAMPLES:
        return DEFAULT_HEDGE_SECONDS
    share = MAX_HEDGE_QUANTILE + min(1.0, max(0.0, tail_weight)) * (
        MIN_HEDGE_QUANTILE - MAX_HEDGE_QUANTILE
    )
    return max(MIN_HEDGE_SECONDS, latencies.quantile(share) or DEFAULT_HEDGE_SECONDS)


class RetryRule(Protocol):
    """What is asked of the operator's rule before a call is repeated."""

    idempotent: bool


def may_retry(
    rule: RetryRule, sent: bool, proven_not_run: bool, attempts: int, time_left: float
) -> bool:
    """Return whether a failed call may be tried again, the budget apart.

    Args:
        rule: Whether the call is idempotent.
        sent: A byte of it may have reached an upstream in any attempt so far.
        proven_not_run: Each upstream that got a byte said by its agreed signal that it did not run.
        attempts: Attempts so far.
        time_left: Seconds until the answer is of no use.
    """
    if attempts >= MAX_ATTEMPTS or time_left < MIN_ATTEMPT_SECONDS:
        return False
    return rule.idempotent or not sent or proven_not_run
