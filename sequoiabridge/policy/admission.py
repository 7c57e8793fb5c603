"""Thin first version: a bounded number of calls in flight, no queue yet."""

from enum import Enum

from ..outcome import Reason


class Verdict(Enum):
    """What becomes of a call."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class Ticket:
    """One call that asks for a place."""

    __slots__ = ("caller", "deadline", "arrived", "weight")

    def __init__(self, caller: str, deadline: float, arrived: float, weight: float):
        self.caller = caller
        self.deadline = deadline
        self.arrived = arrived
        self.weight = weight


class Decision:
    """The verdict, with reason and time to come back for a refusal."""

    __slots__ = ("verdict", "reason", "retry_after")

    def __init__(self, verdict, reason=None, retry_after=None):
        self.verdict = verdict
        self.reason = reason
        self.retry_after = retry_after


class AdmissionQueue:
    """Counts calls in flight."""

    def __init__(self, limit: int, caller_share: float):
        self.configure(limit, caller_share)
        self.in_flight = 0
        self.queued = 0

    def configure(self, limit: int, caller_share: float) -> None:
        """Take over new options."""
        self.limit = limit

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Decide about a call."""
        if self.in_flight >= self.limit:
            return Decision(Verdict.REFUSED, Reason.QUEUE_FULL, 1.0)
        self.in_flight += 1
        return Decision(Verdict.ADMITTED)

    def release(self, ticket: Ticket, now: float, latency: float, ok: bool) -> list[Ticket]:
        """A call has ended."""
        self.in_flight -= 1
        return []

    def abandon(self, ticket: Ticket, now: float) -> list[Ticket]:
        """A queued call's caller has gone."""
        return []

    def expire(self, now: float) -> list[Ticket]:
        """Nothing waits."""
        return []

    def dump(self, now: float) -> dict:
        """Describe the queue."""
        return {"in_flight": self.in_flight}
