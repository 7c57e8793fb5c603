"""Calls that ask to be admitted, and what is decided on them."""

from __future__ import annotations

from enum import Enum

from ..outcome import Reason


class Ticket:
    """One call that asks to be admitted; times are seconds on the daemon's clock."""

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
    """What becomes of a call that was offered."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class Decision:
    """The verdict on one call; `reason` and `retry_after` (seconds) go with a refusal."""

    __slots__ = ("verdict", "reason", "retry_after")

    def __init__(
        self, verdict: Verdict, reason: Reason | None = None, retry_after: float | None = None
    ):
        self.verdict = verdict
        self.reason = reason
        self.retry_after = retry_after


ADMITTED = Decision(Verdict.ADMITTED)
QUEUED = Decision(Verdict.QUEUED)
