"""One call on its way: what came in, what is allowed, what was tried."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..exceptions import Refusal
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Answer, Request
from .choice import Weighed
from .routes import Route
from .signals import CallTerms

if TYPE_CHECKING:
    from .attempt import Attempt


class Ending(Enum):
    """How an attempt at an upstream ended."""

    ANSWERED = "answered"
    """A whole answer of the upstream's own came."""
    NOT_SENT = "not-sent"
    """Nothing reached the upstream: no connection could be opened."""
    NOT_RUN = "not-run"
    """The upstream said that it did not run the call."""
    BROKEN = "broken"
    """The call was sent, and no usable answer came; it may have run."""
    CANCELLED = "cancelled"
    """The daemon gave the attempt up; it may have run."""
    RESTARTED = "restarted"
    """The upstream has started again meanwhile and knows nothing of it; it may have run."""


PROVEN_NOT_RUN = frozenset({Ending.NOT_SENT, Ending.NOT_RUN})


class RelayedCall:
    """One call; times are on the daemon's clock, in seconds.

    Attributes:
        id: The caller's name for it, for logs.
        deadline: When the caller must have a final answer.
        waited: Seconds that its caller has probably waited before, in an earlier try.
        target_at: When an answer begins to be late.
        service: Where it goes, once that is known.
        attempts: All attempts at upstreams, in order.
        fallback: An upstream's own failure, the answer if no further attempt does better.
        refusal: The answer that the daemon made itself, or None.
        body_seconds: How long its body took to come.
        considered: What was weighed in the latest choice, the best first.
        note: What else decided it, for the log.
    """

    __slots__ = (
        "id",
        "request",
        "terms",
        "arrived",
        "deadline",
        "waited",
        "target_at",
        "route",
        "service",
        "version",
        "attempts",
        "fallback",
        "answer",
        "refusal",
        "body_seconds",
        "considered",
        "note",
    )

    def __init__(self, call_id: str, request: Request, terms: CallTerms, arrived: float):
        self.id = call_id
        self.request = request
        self.terms = terms
        self.arrived = arrived
        self.deadline = arrived
        self.waited = 0.0
        self.target_at = arrived
        self.route: Route | None = None
        self.service = ""
        self.version = 0
        self.attempts: list[Attempt] = []
        self.fallback: Answer | None = None
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        self.body_seconds = 0.0
        self.considered: list[Weighed] = []
        self.note = ""

    def fall_under(self, route: Route, version: int) -> None:
        """Take in the route's terms."""
        self.route = route
        self.version = version
        patience = route.timeout
        if self.terms.patience is not None:
            patience = min(patience, self.terms.patience)
        self.deadline = self.arrived + patience
        self.target_at = self.arrived + min(route.target_latency, patience)

    def has_waited(self, seconds: float) -> None:
        """Take in that the caller has waited before: its answer is late sooner."""
        self.waited = seconds
        self.target_at -= seconds

    @property
    def replayable(self) -> bool:
        """Return whether the call can be sent again: its body, if any, is in memory."""
        body = self.request.body
        return body is None or isinstance(body, ReplayableBody)

    @property
    def may_have_run(self) -> int:
        """Return how many upstreams may have run it, or may be running it."""
        return sum(attempt.may_have_run for attempt in self.attempts)

    @property
    def may_run_at(self) -> int:
        """Return how many upstreams may have run it or may yet, those still being connected to
        included."""
        return sum(a.may_have_run or a.ending is None for a in self.attempts)

    @property
    def reached(self) -> bool:
        """Return whether it has reached an upstream at all, so that another send is a repeat."""
        return any(attempt.sent for attempt in self.attempts)

    @property
    def tried(self) -> set[str]:
        """Return the ids of the upstreams that it was sent to."""
        return {attempt.upstream.id for attempt in self.attempts}
