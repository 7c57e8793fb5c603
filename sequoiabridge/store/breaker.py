"""Circuit breaker of the platform's service: pure, time is an argument."""

FAILURES_TO_OPEN = 3
"""Calls in a row without a good answer after which calls are refused at once."""

MIN_PROBE_DELAY = 0.25
"""Seconds until the first call that tries the service again."""

MAX_PROBE_DELAY = 2.0
"""Longest wait in seconds between two such calls; each failure doubles the wait."""


class CircuitBreaker:
    """Refuses calls while the service is down and lets one through now and then."""

    __slots__ = ("failures", "is_open", "probe_at", "wait", "outage_count")

    def __init__(self):
        self.failures = 0
        self.is_open = False
        self.probe_at = 0.0
        self.wait = MIN_PROBE_DELAY
        self.outage_count = 0

    def allow_call(self, now: float) -> bool:
        """True if a call may go out now; while open, one call each `wait` seconds."""
        if not self.is_open:
            return True
        if now < self.probe_at:
            return False
        self.probe_at = now + self.wait
        return True

    def record_success(self) -> None:
        """Take note of an answer, a refusal included: the service is there."""
        self.failures = 0
        self.is_open = False
        self.wait = MIN_PROBE_DELAY

    def record_failure(self, now: float) -> None:
        """Take note of a call without an answer."""
        self.failures += 1
        if self.is_open:
            self.wait = min(MAX_PROBE_DELAY, self.wait * 2)
            self.probe_at = now + self.wait
            return
        if self.failures >= FAILURES_TO_OPEN:
            self.is_open = True
            self.outage_count += 1
            self.probe_at = now + self.wait

    def retry_after(self, now: float) -> float:
        """Return the seconds until the next call that may go out."""
        return max(0.0, self.probe_at - now) if self.is_open else 0.0
