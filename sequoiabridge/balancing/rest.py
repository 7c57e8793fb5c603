"""The rest that an upstream asks of this VM when it rejects a call."""

from __future__ import annotations


class RestReport:
    """What one answer of an upstream says of a rest.

    Attributes:
        seconds: Seconds for which the upstream wants no request of this VM, None if it asks for no
            rest.
        problem: Why the value could not be read, "" if it could or if there is none.
    """

    __slots__ = ("seconds", "problem")

    def __init__(self, seconds: float | None, problem: str = ""):
        self.seconds = seconds
        self.problem = problem


class Rest:
    """The rests that one upstream has asked of this VM. Times are in seconds on its clock.

    Attributes:
        until: Time at which the last of them ends.
        asked_at: Time of the latest answer that asked for one.
        count: Number of answers that asked for one.
        sends: Number of calls that were sent during a rest.
        withheld: Number of times that the upstream was passed over, or a call withheld, for a rest.
        problem: Latest value that could not be read, for the log.
    """

    __slots__ = ("until", "asked_at", "count", "sends", "withheld", "problem")

    def __init__(self) -> None:
        self.until = float("-inf")
        self.asked_at = float("-inf")
        self.count = 0
        self.sends = 0
        self.withheld = 0
        self.problem = ""

    def ask(self, seconds: float, now: float) -> None:
        """Apply a request for rest; a shorter one does not end a rest that lasts longer."""
        self.asked_at = now
        self.until = max(self.until, now + seconds)
        self.count += 1

    def is_active(self, now: float) -> bool:
        """Return whether the upstream wants no requests now."""
        return now < self.until

    def seconds_left(self, now: float) -> float:
        """Return the seconds to the end of the rest, 0.0 if there is none."""
        return max(0.0, self.until - now)
