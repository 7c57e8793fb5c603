"""The limit that an upstream in need sets on the requests that it receives."""

from __future__ import annotations


class LimitReport:
    """What one answer of an upstream says of its limit.

    Attributes:
        rate: Requests per second that the upstream takes from all VMs together, None if the answer
            names no limit.
        problem: Why the value could not be read, "" if it could or if there is none.
    """

    __slots__ = ("rate", "problem")

    def __init__(self, rate: float | None, problem: str = ""):
        self.rate = rate
        self.problem = problem


class RequestLimit:
    """The limit of one upstream, as far as this VM knows. Times are in seconds on its clock.

    Attributes:
        rate: Requests per second from all VMs together, None while there is no limit.
        named_at: Time at which the present limit period began, as far as this VM knows.
        observed_at: Time at which the present `rate` was last true.
        problem: Latest value that could not be read, for the log.
        sends: Number of calls that this VM sent in the present limit period.
        granted, refused: Numbers of permits that this VM got, and that it was refused.
    """

    __slots__ = ("rate", "named_at", "observed_at", "problem", "sends", "granted", "refused")

    def __init__(self) -> None:
        self.rate: float | None = None
        self.named_at = 0.0
        self.observed_at = float("-inf")
        self.problem = ""
        self.sends = 0
        self.granted = 0
        self.refused = 0

    def observe(self, rate: float | None, at: float) -> bool:
        """Apply what was true at the time `at`; return whether the limit changed.

        Older observations than the latest one are ignored.
        """
        if at < self.observed_at:
            return False
        self.observed_at = at
        if rate == self.rate:
            return False
        if self.rate is None:
            self.named_at = at
            self.sends = 0
        self.rate = rate
        return True
