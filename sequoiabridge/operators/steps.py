"""Events of a call that `Exchange.note` records in the journal; formatted only when read."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..policy.base import Failure, ScoredUpstream

STEP_BYTES = 100
"""Approximate memory of a step, in bytes."""

CANDIDATE_BYTES = 150
"""Approximate memory of a candidate of a step without its detail text, in bytes."""

MAX_CANDIDATES = 20
"""Maximum number of candidates that are recorded for a choice; the others are counted."""


class Step(ABC):
    """Base class of the events of a call; `str` formats one as a line without its time."""

    __slots__ = ()

    @abstractmethod
    def __str__(self) -> str:
        """Return one line that says what happened and why."""

    def size(self) -> int:
        """Return the approximate memory of the step, in bytes."""
        return STEP_BYTES


class UpstreamChosen(Step):
    """An upstream was chosen, or none was available (`upstream` is None).

    `candidates` are sorted by score, best first.
    """

    __slots__ = ("upstream", "candidates", "omitted")

    def __init__(self, upstream: str | None, candidates: Sequence[ScoredUpstream] = ()):
        self.upstream = upstream
        self.candidates = tuple(candidates[:MAX_CANDIDATES])
        self.omitted = len(candidates) - len(self.candidates)

    def __str__(self) -> str:
        line = f"chose {self.upstream}" if self.upstream else "no upstream available"
        if not self.candidates:
            return line
        scores = "; ".join(
            f"{candidate.name} {candidate.score:.3g} ({candidate.detail})"
            for candidate in self.candidates
        )
        more = f"; and {self.omitted} more" if self.omitted else ""
        return f"{line}; scores: {scores}{more}"

    def size(self) -> int:
        return STEP_BYTES + sum(
            CANDIDATE_BYTES + len(candidate.detail) for candidate in self.candidates
        )


class AttemptFailed(Step):
    """An attempt failed; `sent` is True if a byte may have reached the upstream."""

    __slots__ = ("upstream", "failure", "sent", "seconds")

    def __init__(self, upstream: str, failure: Failure, sent: bool, seconds: float):
        self.upstream = upstream
        self.failure = failure
        self.sent = sent
        self.seconds = seconds

    def __str__(self) -> str:
        reached = "may have reached the upstream" if self.sent else "did not reach the upstream"
        duration = f"after {self.seconds * 1000:.1f} ms"
        return f"{self.upstream} failed {duration}: {self.failure.value}, {reached}"


class RetryDecision(Step):
    """A retry or hedge was made, or was not `allowed`, for a reason given in a short sentence."""

    __slots__ = ("kind", "allowed", "reason")

    def __init__(self, kind: str, allowed: bool, reason: str):
        self.kind = kind
        self.allowed = allowed
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.kind if self.allowed else 'no ' + self.kind}: {self.reason}"
