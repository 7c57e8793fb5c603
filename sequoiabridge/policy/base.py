"""Base classes of the decisions about which upstream a request goes to.

Nothing here does I/O or reads a clock: time and random numbers are arguments.
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
    """How an attempt at an upstream ended without a usable answer."""

    CONNECT = "connect"
    """No connection could be opened."""
    RESET = "reset"
    """The connection broke before the answer was whole."""
    TIMEOUT = "timeout"
    """Silence until the attempt's time was up."""
    ERROR = "error"
    """A 5xx answer."""
    SHED = "shed"
    """The upstream said that it did not run the request."""
    CANCELLED = "cancelled"
    """The daemon gave up on it (the loser of a hedge, or the caller left): no fault of its."""


class LoadReport:
    """An upstream's word on its load; `age` is how old it was when it was heard, in seconds."""

    __slots__ = ("in_flight", "slots", "age")

    def __init__(self, in_flight: int, slots: int, age: float = 0.0):
        self.in_flight = in_flight
        self.slots = slots
        self.age = age


class ScoredUpstream:
    """One upstream as it was weighed in a choice, for the journal of decisions."""

    __slots__ = ("name", "score", "detail")

    def __init__(self, name: str, score: float, detail: str):
        self.name = name
        self.score = score
        self.detail = detail


class Chooser(ABC):
    """Picks an upstream.

    Hooks:
        choose: Called once for each attempt, on the request path: keep it cheap.
        explain: Called only when somebody wants to know; same arguments' view as `choose`.
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

        `tried` names upstreams that have had this request already; they come last.
        """

    def shortlist(
        self,
        candidates: Sequence[UpstreamState],
        now: float,
        count: int,
        tried: Collection[str] = (),
    ) -> Sequence[UpstreamState]:
        """Return the `count` best candidates, best first; none from a chooser without a measure."""
        return ()

    def explain(self, candidates: Sequence[UpstreamState], now: float) -> list[ScoredUpstream]:
        """Return how each candidate weighs at `now`, best first."""
        return [ScoredUpstream(c.name, 0.0, "not weighed") for c in candidates]
