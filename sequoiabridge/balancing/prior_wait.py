"""Estimates how long a caller has already been waiting when its call arrives.

Most callers of a route start with the same timeout. A caller that retries after a refusal or a
failure states a shorter one; the difference is the time that it has waited before.
"""

from __future__ import annotations

USUAL_TOLERANCE = 0.97
"""Share of the usual timeout from which a call counts as a first attempt. Opening the connection
may already have used up a few milliseconds."""

SHARE_WEIGHT = 0.02
"""Weight of a new call in the moving average of the share of calls with the usual timeout. Some
fifty calls fix the share."""

MIN_USUAL_SHARE = 0.6
"""Minimum share of calls with the usual timeout for a shorter timeout to count as prior waiting.
Below it, the callers have no common timeout."""

INITIAL_SHARE = 0.5
"""Initial share; below `MIN_USUAL_SHARE`."""

RESET_SHARE = 0.1
"""Share below which the usual timeout is learned anew, since the callers have shortened theirs."""


class UsualTimeout:
    """The timeout that most callers of one route start with.

    Attributes:
        seconds: The timeout in seconds.
        share: Moving average of the share of calls with this timeout.
    """

    __slots__ = ("seconds", "share")

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.share = INITIAL_SHARE

    def prior_wait(self, caller_timeout: float) -> float:
        """Record a call's timeout; return the seconds that its caller has probably waited."""
        if caller_timeout * USUAL_TOLERANCE > self.seconds or self.share < RESET_SHARE:
            self.seconds, self.share = caller_timeout, INITIAL_SHARE
            return 0.0
        is_usual = caller_timeout >= USUAL_TOLERANCE * self.seconds
        self.share += SHARE_WEIGHT * (is_usual - self.share)
        if is_usual or self.share < MIN_USUAL_SHARE:
            return 0.0
        return self.seconds - caller_timeout


class PriorWaitEstimator:
    """Estimates prior waiting times per route."""

    def __init__(self) -> None:
        self.by_route: dict[str, UsualTimeout] = {}

    def estimate(self, route: str, caller_timeout: float | None) -> float:
        """Record a call; return the seconds that its caller has probably waited before it.

        Args:
            route: Name of the route.
            caller_timeout: Seconds that the caller still waits, None if it did not say.
        """
        if caller_timeout is None:
            return 0.0
        usual = self.by_route.get(route)
        if usual is None:
            usual = self.by_route[route] = UsualTimeout(caller_timeout)
        return usual.prior_wait(caller_timeout)
