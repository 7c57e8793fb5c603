"""Circuit breaker for calls to the platform's store. The caller passes the current time."""

FAILURES_TO_OPEN = 3
"""Number of consecutive failed calls that opens the breaker."""

MIN_PROBE_DELAY = 0.25
"""Seconds from the opening of the breaker to the first probe."""

MAX_PROBE_DELAY = 2.0
"""Maximum number of seconds between two probes. The delay doubles with each failed probe."""


class CircuitBreaker:
    """Rejects calls while the service is down, except for single probes after a delay."""

    __slots__ = ("failures", "is_open", "probe_at", "wait", "outage_count")

    def __init__(self):
        self.failures = 0
        self.is_open = False
        self.probe_at = 0.0
        self.wait = MIN_PROBE_DELAY
        self.outage_count = 0

    def allow_call(self, now: float) -> bool:
        """Return whether a call may be sent now. While open, only a call that is due as a probe."""
        if not self.is_open:
            return True
        if now < self.probe_at:
            return False
        self.probe_at = now + self.wait
        return True

    def record_success(self) -> None:
        """Record an answer of the service, also one that rejects the call; close the breaker."""
        self.failures = 0
        self.is_open = False
        self.wait = MIN_PROBE_DELAY

    def record_failure(self, now: float) -> None:
        """Record a call without an answer, and open the breaker after several in a row."""
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
        """Return the number of seconds until the next call is allowed."""
        return max(0.0, self.probe_at - now) if self.is_open else 0.0
