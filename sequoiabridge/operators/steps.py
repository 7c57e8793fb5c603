"""Steps of a call, noted in the journal of decisions as objects and turned into text on demand.

`Exchange.note` takes them beside plain lines. `at` is the time on the daemon's clock.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..policy.base import Failure, ScoredUpstream

STEP_BYTES = 100
CANDIDATE_BYTES = 150
"""What one step, and one weighed upstream in it, take in memory, about."""

MAX_CANDIDATES = 20
"""Upstreams shown of one choice, the best first; the rest are counted."""


class Step(ABC):
    """One event of a call.

    Hooks:
        __str__: One line, without the time.
        size: About how many bytes the step takes.
    """

    __slots__ = ()

    @abstractmethod
    def __str__(self) -> str:
        """Say in one line what happened and why."""

    def size(self) -> int:
        """Return about how many bytes the step takes."""
        return STEP_BYTES


class UpstreamChosen(Step):
    """An upstream was chosen (or none could be, `upstream` None); `weighed` is the best first."""

    __slots__ = ("upstream", "candidates", "omitted")

    def __init__(self, upstream: str | None, candidates: Sequence[ScoredUpstream] = ()):
        self.upstream = upstream
        self.candidates = tuple(candidates[:MAX_CANDIDATES])
        self.omitted = len(candidates) - len(self.candidates)

    def __str__(self) -> str:
        line = f"chose {self.upstream}" if self.upstream else "found no upstream to choose"
        if not self.candidates:
            return line
        scores = "; ".join(f"{w.name} {w.score:.3g} ({w.detail})" for w in self.candidates)
        more = f"; and {self.omitted} more" if self.omitted else ""
        return f"{line}; weighed: {scores}{more}"

    def size(self) -> int:
        return STEP_BYTES + sum(CANDIDATE_BYTES + len(w.detail) for w in self.candidates)


class AttemptFailed(Step):
    """An attempt gave no usable answer; `sent` says that a byte may have reached the upstream."""

    __slots__ = ("upstream", "failure", "sent", "seconds")

    def __init__(self, upstream: str, failure: Failure, sent: bool, seconds: float):
        self.upstream = upstream
        self.failure = failure
        self.sent = sent
        self.seconds = seconds

    def __str__(self) -> str:
        reached = "may have reached it" if self.sent else "nothing reached it"
        took = f"after {self.seconds * 1000:.1f} ms"
        return f"{self.upstream} failed {took}: {self.failure.value}, {reached}"


class RetryDecision(Step):
    """A retry or hedge was made (`made`) or not; `why` is a short sentence."""

    __slots__ = ("kind", "allowed", "reason")

    def __init__(self, kind: str, allowed: bool, reason: str):
        self.kind = kind
        self.allowed = allowed
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.kind if self.allowed else 'no ' + self.kind}: {self.reason}"
