"""How long a caller has been waiting already, judged by the time that it still has.

Callers say how long they still wait. Those of a route mostly begin with the same patience; one that
was refused or failed and comes back has less of it left. What is missing is how long it has waited.
"""

from __future__ import annotations

USUAL_TOLERANCE = 0.97
"""Part of the usual patience from which a call counts as a first try: opening a connection takes
some milliseconds of it."""

SHARE_WEIGHT = 0.02
"""Weight of the latest call in the share of calls that have the usual patience; some fifty calls
fix it."""

MIN_USUAL_SHARE = 0.6
"""Share of calls with the usual patience from which the others are taken to come back. Callers that
differ in their patience have no usual one."""

INITIAL_SHARE = 0.5
"""Share that is assumed before any call has shown it; too low to be trusted."""

RESET_SHARE = 0.1
"""Share below which the usual patience is learned anew: callers have become less patient."""


class UsualTimeout:
    """The patience that callers of one route mostly begin with, in seconds."""

    __slots__ = ("seconds", "share")

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.share = INITIAL_SHARE

    def prior_wait(self, caller_timeout: float) -> float:
        """Take in a call's patience; return the seconds that its caller has probably waited."""
        if caller_timeout * USUAL_TOLERANCE > self.seconds or self.share < RESET_SHARE:
            self.seconds, self.share = caller_timeout, INITIAL_SHARE
            return 0.0
        is_usual = caller_timeout >= USUAL_TOLERANCE * self.seconds
        self.share += SHARE_WEIGHT * (is_usual - self.share)
        if is_usual or self.share < MIN_USUAL_SHARE:
            return 0.0
        return self.seconds - caller_timeout


class PriorWaitEstimator:
    """The usual patience of each route."""

    def __init__(self) -> None:
        self.by_route: dict[str, UsualTimeout] = {}

    def estimate(self, route: str, caller_timeout: float | None) -> float:
        """Return the seconds that a caller has probably waited before its call came.

        Args:
            patience: Seconds that it still waits, None if it did not say.
        """
        if caller_timeout is None:
            return 0.0
        usual = self.by_route.get(route)
        if usual is None:
            usual = self.by_route[route] = UsualTimeout(caller_timeout)
        return usual.prior_wait(caller_timeout)
