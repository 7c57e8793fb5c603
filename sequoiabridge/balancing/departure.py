"""Whether an upstream leaves, as it says in its answers."""

from __future__ import annotations

from enum import Enum


class DepartureSource(Enum):
    """Who told this VM that an upstream leaves."""

    ANSWER = "answer"
    HEALTH_ANSWER = "health-answer"
    PEER = "peer"


class DepartureReport:
    """What one answer of an upstream says of its leaving.

    Attributes:
        leaving: Whether the upstream says that it leaves.
        problem: Why the value could not be read, "" if it could or if there is none.
    """

    __slots__ = ("leaving", "problem")

    def __init__(self, leaving: bool, problem: str = ""):
        self.leaving = leaving
        self.problem = problem


class Departure:
    """The leaving of one lifetime of an upstream.

    Attributes:
        since: Time on this VM's clock at which it learnt that the upstream leaves, None before.
        source: Who told it first, None before.
        sends: Number of calls that this VM sent since then.
        withheld: Number of times that the upstream was passed over, or a call withheld, since then.
        problem: Latest value that could not be read, for the log.
    """

    __slots__ = ("since", "source", "sends", "withheld", "problem")

    def __init__(self) -> None:
        self.since: float | None = None
        self.source: DepartureSource | None = None
        self.sends = 0
        self.withheld = 0
        self.problem = ""
