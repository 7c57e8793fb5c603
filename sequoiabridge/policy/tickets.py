"""Calls that request admission, and the decisions on them."""

from __future__ import annotations

from enum import Enum

from ..outcome import Reason


class Ticket:
    """A call that requests admission; times are seconds on the daemon's monotonic clock."""

    __slots__ = ("caller", "deadline", "arrived_at", "weight", "kind", "admitted_at", "waiting")

    def __init__(
        self, caller: str, deadline: float, arrived_at: float, weight: float = 1.0, kind: str = ""
    ):
        self.caller = caller
        self.deadline = deadline
        self.arrived_at = arrived_at
        self.weight = weight
        self.kind = kind
        self.admitted_at: float | None = None
        self.waiting = False


class Verdict(Enum):
    """Result of an admission request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class Decision:
    """A verdict on a call; `reason` and `retry_after` (seconds) are set for a refusal."""

    __slots__ = ("verdict", "reason", "retry_after")

    def __init__(
        self, verdict: Verdict, reason: Reason | None = None, retry_after: float | None = None
    ):
        self.verdict = verdict
        self.reason = reason
        self.retry_after = retry_after


ADMITTED = Decision(Verdict.ADMITTED)
QUEUED = Decision(Verdict.QUEUED)
