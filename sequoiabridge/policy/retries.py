"""Thin first version: which calls may be sent again, and what pays for it."""


class RetryReport:
    """Retries and successes of one counting period."""

    __slots__ = ("period", "retries", "successes")

    def __init__(self, period: int, retries: int, successes: int):
        self.period = period
        self.retries = retries
        self.successes = successes


class RetryBudget:
    """A token bucket that successes fill."""

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.tokens = 10.0

    def take(self, now: float) -> bool:
        """Pay for one retry or hedge."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def succeeded(self, now: float) -> None:
        """A success earns a share of a retry."""
        self.tokens = min(100.0, self.tokens + self.ratio)

    def heard(self, vm: str, period: int, retries: int, successes: int, now: float) -> None:
        """Another VM's counts; not used yet."""

    def report(self, now: float) -> RetryReport | None:
        """Nothing to tell yet."""

    def dump(self, now: float) -> dict:
        """Describe the budget."""
        return {"tokens": round(self.tokens, 1)}


class HedgeDelay:
    """When a silent call is hedged."""

    def delay(self, now: float) -> float:
        """Return seconds."""
        return 0.1

    def answered(self, elapsed: float) -> None:
        """Take in a latency."""


def may_retry(idempotent: bool, sent: bool, attempts: int, left: float) -> bool:
    """Return whether a call may be sent again."""
    return (idempotent or not sent) and attempts < 3 and left > 0.0
