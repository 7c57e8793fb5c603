"""Base classes for choosing the upstream of a call.

Time and random numbers are arguments; nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstream_state import UpstreamState


class Failure(Enum):
    """Why an attempt ended without a usable answer."""

    CONNECT = "connect"
    """The connection could not be opened."""
    RESET = "reset"
    """The connection closed before the answer was complete."""
    TIMEOUT = "timeout"
    """No answer came before the attempt timed out."""
    ERROR = "error"
    """A 5xx answer."""
    SHED = "shed"
    """The upstream refused the request without running it."""
    CANCELLED = "cancelled"
    """The daemon cancelled the attempt: it lost to a hedge, or the caller disconnected."""


class LoadReport:
    """An upstream's load report; `age` is its age in seconds when it was received."""

    __slots__ = ("in_flight", "slots", "age")

    def __init__(self, in_flight: int, slots: int, age: float = 0.0):
        self.in_flight = in_flight
        self.slots = slots
        self.age = age


class ScoredUpstream:
    """An upstream with its score in one choice, for the journal of decisions."""

    __slots__ = ("name", "score", "detail")

    def __init__(self, name: str, score: float, detail: str):
        self.name = name
        self.score = score
        self.detail = detail


class Chooser(ABC):
    """Picks the upstream for an attempt.

    Hooks:
        choose: Called for each attempt, on the request path; must be cheap.
        explain: Called only when the scores are to be recorded or shown.
    """

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[UpstreamState],
        now: float,
        random: Random,
        tried: Collection[str] = (),
    ) -> UpstreamState | None:
        """Return the upstream for the next attempt, or None if none may be used.

        `tried` names the upstreams that this call has been sent to; they are used only if no other
        is left.
        """

    def shortlist(
        self,
        candidates: Sequence[UpstreamState],
        now: float,
        count: int,
        tried: Collection[str] = (),
    ) -> Sequence[UpstreamState]:
        """Return the `count` best candidates, best first; empty if the chooser has no scores."""
        return ()

    def explain(self, candidates: Sequence[UpstreamState], now: float) -> list[ScoredUpstream]:
        """Return the score of each candidate at `now`, best first."""
        return [ScoredUpstream(c.name, 0.0, "not weighed") for c in candidates]
