"""Spreads the returns of callers that were refused because upstreams take no requests now."""

from __future__ import annotations

from random import Random

MAX_RETURN_SECONDS = 3.0
"""Maximum Retry-After in seconds; callers with little time left ignore a longer one."""

MAX_DELAY = 10.0
"""Maximum seconds that a caller is told to wait for upstreams to take calls again. Another VM may
serve it earlier."""

MIN_RETURN_SECONDS = 0.1
"""Minimum Retry-After in seconds."""

SPREAD = 0.2
"""Random change of a Retry-After, as a share of it, since all VMs refuse callers."""


class ReturnSchedule:
    """Gives each refused caller a time of its own, in the order of the refusals.

    Attributes:
        next_return: Time at which the next caller may return, by service and priority.
    """

    def __init__(self, random: Random):
        self.random = random
        self.next_return: dict[tuple[str, int], float] = {}

    def retry_after(
        self, service: str, priority: int, rate: float, now: float, delay: float = 0.0
    ) -> float:
        """Return the Retry-After in seconds for a caller that is refused now.

        Args:
            rate: Calls per second that this VM can expect to send to the service.
            delay: Seconds in which it can send none.
        """
        key = (service, priority)
        interval = min(MAX_RETURN_SECONDS, 1.0 / rate) if rate > 0.0 else MAX_RETURN_SECONDS
        delay = min(MAX_DELAY, delay)
        first = now + delay
        latest = max(first, self.next_return.get(key, first))
        if delay > 0.0 and latest == first:
            # All VMs count from the same time, and must not begin together.
            latest -= interval * self.random.random()
        at = latest + interval
        if at - first > MAX_RETURN_SECONDS:
            return delay + self.random.uniform(MAX_RETURN_SECONDS / 2, MAX_RETURN_SECONDS)
        self.next_return[key] = at
        seconds = (at - first) * self.random.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        return delay + min(MAX_RETURN_SECONDS, max(MIN_RETURN_SECONDS, seconds))
