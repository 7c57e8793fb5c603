"""How long a caller has been waiting already, judged by the time that it still has.

Callers say how long they still wait. Those of a route mostly begin with the same patience; one that
was refused or failed and comes back has less of it left. What is missing is how long it has waited.
"""

from __future__ import annotations

NEAR = 0.97
"""Part of the usual patience from which a call counts as a first try: opening a connection takes
some milliseconds of it."""

STEP = 0.02
"""Weight of the latest call in the share of calls that have the usual patience; some fifty calls
fix it."""

TRUSTED_SHARE = 0.6
"""Share of calls with the usual patience from which the others are taken to come back. Callers that
differ in their patience have no usual one."""

FIRST_SHARE = 0.5
"""Share that is assumed before any call has shown it; too low to be trusted."""

FORGOTTEN_SHARE = 0.1
"""Share below which the usual patience is learned anew: callers have become less patient."""


class UsualPatience:
    """The patience that callers of one route mostly begin with, in seconds."""

    __slots__ = ("seconds", "share")

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.share = FIRST_SHARE

    def waited(self, patience: float) -> float:
        """Take in a call's patience; return the seconds that its caller has probably waited."""
        if patience * NEAR > self.seconds or self.share < FORGOTTEN_SHARE:
            self.seconds, self.share = patience, FIRST_SHARE
            return 0.0
        near = patience >= NEAR * self.seconds
        self.share += STEP * (near - self.share)
        if near or self.share < TRUSTED_SHARE:
            return 0.0
        return self.seconds - patience


class Patience:
    """The usual patience of each route."""

    def __init__(self) -> None:
        self.by_route: dict[str, UsualPatience] = {}

    def waited(self, route: str, patience: float | None) -> float:
        """Return the seconds that a caller has probably waited before its call came.

        Args:
            patience: Seconds that it still waits, None if it did not say.
        """
        if patience is None:
            return 0.0
        usual = self.by_route.get(route)
        if usual is None:
            usual = self.by_route[route] = UsualPatience(patience)
        return usual.waited(patience)
