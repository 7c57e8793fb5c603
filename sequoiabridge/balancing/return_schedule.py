"""Spreads the returns of callers that were refused because upstreams take no more requests."""

from __future__ import annotations

from random import Random

MAX_RETURN_SECONDS = 3.0
"""Maximum Retry-After in seconds; callers with little time left ignore a longer one."""

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

    def retry_after(self, service: str, priority: int, rate: float, now: float) -> float:
        """Return the Retry-After in seconds for a caller that is refused now.

        Args:
            rate: Calls per second that this VM can expect to send to the service.
        """
        key = (service, priority)
        interval = min(MAX_RETURN_SECONDS, 1.0 / rate) if rate > 0.0 else MAX_RETURN_SECONDS
        at = max(now, self.next_return.get(key, now)) + interval
        if at - now > MAX_RETURN_SECONDS:
            return self.random.uniform(MAX_RETURN_SECONDS / 2, MAX_RETURN_SECONDS)
        self.next_return[key] = at
        seconds = (at - now) * self.random.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        return min(MAX_RETURN_SECONDS, max(MIN_RETURN_SECONDS, seconds))
