"""Retry budget, hedging delay, and the rule for when a call may be retried.

The budget limits retries and hedges to a share of the successes in a sliding window. Peers exchange
their counts, so that the limit holds for the whole fleet. A pool that fails entirely yields no
successes, and so allows hardly any retries.
"""

from __future__ import annotations

from typing import Protocol

from .quantiles import LatencyHistogram

PERIOD_SECONDS = 1.0
"""Length of a period for which retries and successes are counted and reported to peers."""

WINDOW_PERIODS = 10
"""Number of periods in the sliding window, the current one included."""

MIN_FLEET_RETRIES = 10
"""Retries that the fleet may make in a window with hardly any successes."""

MIN_PERIOD_RETRIES = 1
"""Retries that each VM may make in a period, whatever the ratio. A little traffic earns hardly any,
and one retry per second and VM overloads nobody."""

PERIOD_SPEND_SHARE = 0.25
"""Share of the remaining budget that the VMs together may spend in a period.

Counts of peers are a period late; with a larger share the fleet could exceed its budget.
"""

MAX_HEDGE_QUANTILE, MIN_HEDGE_QUANTILE = 0.99, 0.9
"""Latency quantile used as the hedging delay, at `tail_weight` 0 and 1."""

MIN_HEDGE_SECONDS = 0.005
"""Minimum hedging delay."""

DEFAULT_HEDGE_SECONDS = 0.1
"""Hedging delay while too few latencies are known."""

MIN_HEDGE_SAMPLES = 50
"""Minimum number of latencies from which the hedging delay is computed."""

MAX_ATTEMPTS = 3
"""Maximum number of attempts per call, the first one and hedges included."""

MIN_ATTEMPT_SECONDS = 0.005
"""Minimum time left for another attempt."""


class PeriodCount:
    """Retries and successes of one VM in one period, known since `at`."""

    __slots__ = ("period", "at", "retries", "successes")

    def __init__(self, period: int, at: float, retries: int = 0, successes: int = 0):
        self.period = period
        self.at = at
        self.retries = retries
        self.successes = successes


class RetryReport:
    """A VM's counts of the last complete period, as reported to its peers."""

    __slots__ = ("period", "retries", "successes")

    def __init__(self, period: int, retries: int, successes: int):
        self.period = period
        self.retries = retries
        self.successes = successes


class RetryBudget:
    """Limits the retries of one service to a share of the successes of all VMs with recent counts.

    At the start of each period the remaining budget of the fleet is divided among the VMs. What a
    VM's own successes add during the period is its own.

    A process that has just started knows no counts of its peers and would take itself for the only
    VM. `MIN_FLEET_RETRIES` therefore does not apply to its first window.

    Args:
        ratio: Retries per success.

    Attributes:
        first_used_at: Time of the first use, None before.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.first_used_at: float | None = None
        self.own: list[PeriodCount] = []
        self.peers: dict[str, list[PeriodCount]] = {}
        self.grant = 0.0
        self.refused = 0

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        count = self._current(now)
        available = self.grant + self.ratio * count.successes
        is_new = now - self.first_used_at < WINDOW_PERIODS * PERIOD_SECONDS
        min_retries = 0 if is_new else MIN_FLEET_RETRIES / (1 + len(self.peers))
        exhausted = count.retries >= MIN_PERIOD_RETRIES and count.retries + 1 > available
        if exhausted and sum(c.retries for c in self.own) >= min_retries:
            self.refused += 1
            return False
        count.retries += 1
        return True

    def record_success(self, now: float) -> None:
        """Record a successful call."""
        self._current(now).successes += 1

    def record_peer_counts(
        self, vm: str, period: int, retries: int, successes: int, now: float
    ) -> None:
        """Record a peer's counts of one period; late and repeated reports are ignored."""
        counts = self.peers.setdefault(vm, [])
        if retries < 0 or successes < 0 or (counts and period <= counts[-1].period):
            return
        counts.append(PeriodCount(period, now, retries, successes))

    def report(self, now: float) -> RetryReport | None:
        """Return the counts of the last complete period for the peers, or None if all are 0."""
        last = self._current(now).period - 1
        for count in self.own:
            if count.period == last and (count.retries or count.successes):
                return RetryReport(last, count.retries, count.successes)
        return None

    def dump(self, now: float) -> dict:
        """Return the state for operators."""
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
        """Return the counts of the current period; divide the budget at the start of one."""
        if self.first_used_at is None:
            self.first_used_at = now
        period = int(now / PERIOD_SECONDS)
        if self.own and self.own[-1].period == period:
            return self.own[-1]
        self._drop_expired(now)
        counts = self.own + [count for counts in self.peers.values() for count in counts]
        remaining = sum(self.ratio * c.successes - c.retries for c in counts)
        self.grant = max(0.0, PERIOD_SPEND_SHARE * remaining / (1 + len(self.peers)))
        self.own.append(PeriodCount(period, now))
        return self.own[-1]

    def _drop_expired(self, now: float) -> None:
        oldest = now - WINDOW_PERIODS * PERIOD_SECONDS
        self.own = [c for c in self.own if c.at > oldest]
        kept = {vm: [c for c in counts if c.at > oldest] for vm, counts in self.peers.items()}
        self.peers = {vm: counts for vm, counts in kept.items() if counts}


def hedge_delay(latencies: LatencyHistogram, tail_weight: float) -> float:
    """Return the seconds without an answer after which an idempotent call is hedged.

    The delay is a quantile of the latencies: 99% at `tail_weight` 0, where the additional load
    counts most, down to 90% at 1, where tail latency does.
    """
    if latencies.total < MIN_HEDGE_SAMPLES:
        return DEFAULT_HEDGE_SECONDS
    share = MAX_HEDGE_QUANTILE + min(1.0, max(0.0, tail_weight)) * (
        MIN_HEDGE_QUANTILE - MAX_HEDGE_QUANTILE
    )
    return max(MIN_HEDGE_SECONDS, latencies.quantile(share) or DEFAULT_HEDGE_SECONDS)


class RetryRule(Protocol):
    """The part of the operator's rule for a call that retries depend on."""

    idempotent: bool


def may_retry(
    rule: RetryRule, sent: bool, proven_not_run: bool, attempts: int, time_left: float
) -> bool:
    """Return whether a failed call may be retried, apart from the budget.

    Args:
        rule: Whether the call is idempotent.
        sent: Whether a byte may have reached an upstream in any attempt so far.
        proven_not_run: Whether each upstream that got a byte signalled that it did not run the
            call.
        attempts: Number of attempts so far.
        time_left: Seconds until the deadline.
    """
    if attempts >= MAX_ATTEMPTS or time_left < MIN_ATTEMPT_SECONDS:
        return False
    return rule.idempotent or not sent or proven_not_run
