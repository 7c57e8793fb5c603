"""One call as the decisions see it: its terms, its times, and what was tried."""

from __future__ import annotations

from enum import Enum

from ..exceptions import SequoiaError
from .cost_model import CostEstimate
from .load import UpstreamLoad
from .routes import Route
from .upstream import Upstream

MIN_FAILURE_STATUS = 500
"""Status from which an answer is a failure."""


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


class CallAttempt:
    """One attempt at a call, as the decisions see it; times in seconds on the daemon's clock.

    Attributes:
        weighed: The upstream as it was weighed when it was chosen.
        sent: A byte of the call may have reached the upstream.
        ending: How it ended, None while it runs.
        why: What went wrong, for the log.
        error: What the caller did wrong while its body was being passed on, or None.
        status: Status of the upstream's answer, 0 if there is none that can be used.
        size: Bytes of that answer, 0 if that is not known.
        is_long: That answer has begun to come and cannot be replaced by a better one.
        load: The upstream's word on its load at the end, or None.
        other_upstream: Another upstream answered at the address.
        check_at: When to look whether the answer is still worth waiting for.
    """

    __slots__ = (
        "estimate",
        "started",
        "ended_at",
        "sent",
        "ending",
        "why",
        "error",
        "status",
        "size",
        "is_streamed",
        "load",
        "wrong_upstream",
        "next_check_at",
    )

    def __init__(self, estimate: CostEstimate, started: float):
        self.estimate = estimate
        self.started = started
        self.ended_at = 0.0
        self.sent = False
        self.ending: Ending | None = None
        self.why = ""
        self.error: SequoiaError | None = None
        self.status = 0
        self.size = 0
        self.is_streamed = False
        self.load: UpstreamLoad | None = None
        self.wrong_upstream = False
        self.next_check_at = 0.0

    @property
    def upstream(self) -> Upstream:
        """Return the upstream that it goes to."""
        return self.estimate.upstream

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have run the call, or may be running it."""
        return self.sent and self.ending not in PROVEN_NOT_RUN

    @property
    def is_success(self) -> bool:
        """Return whether the upstream's answer is no failure."""
        return 0 < self.status < MIN_FAILURE_STATUS

    @property
    def is_final(self) -> bool:
        """Return whether its answer is the call's, whatever other upstreams might say."""
        return self.is_success or (self.status > 0 and self.is_streamed)


class Call:
    """One call; times are on the daemon's clock, in seconds.

    Attributes:
        arrived: When its head came.
        deadline: When the caller must have a final answer.
        waited: Seconds that its caller has probably waited before, in an earlier attempt.
        target_at: When an answer begins to be late.
        route: The terms that it falls under.
        service: Where it goes, once that is known.
        length: Bytes of its body.
        replayable: It can be sent again: its body, if any, is in memory.
        body_seconds: How long its body took to come.
        tries: All attempts at upstreams, in order.
        open: Those of which the end has not been taken in.
        fallback: An attempt with the upstream's own failure, the answer if no other does better.
        considered: What was weighed in the latest choice, the best first.
        note: What else decided it, for the log.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "prior_wait",
        "late_at",
        "route",
        "service",
        "length",
        "replayable",
        "body_seconds",
        "attempts",
        "open_attempts",
        "fallback",
        "considered",
        "note",
    )

    def __init__(self, arrived: float):
        self.arrived = arrived
        self.deadline = arrived
        self.prior_wait = 0.0
        self.late_at = arrived
        self.route: Route | None = None
        self.service = ""
        self.length = 0
        self.replayable = True
        self.body_seconds = 0.0
        self.attempts: list[CallAttempt] = []
        self.open_attempts: list[CallAttempt] = []
        self.fallback: CallAttempt | None = None
        self.considered: list[CostEstimate] = []
        self.note = ""

    def apply_route(self, route: Route, caller_timeout: float | None) -> None:
        """Take in the route's terms, and the seconds that the caller waits if it told them."""
        self.route = route
        timeout = route.timeout
        if caller_timeout is not None:
            timeout = min(timeout, caller_timeout)
        self.deadline = self.arrived + timeout
        self.late_at = self.arrived + min(route.target_latency, timeout)

    def add_prior_wait(self, seconds: float) -> None:
        """Take in that the caller has waited before: its answer is late sooner."""
        self.prior_wait = seconds
        self.late_at -= seconds

    @property
    def possible_runs(self) -> int:
        """Return how many upstreams may have run it, or may be running it."""
        return sum(one.may_have_run for one in self.attempts)

    @property
    def possible_or_pending_runs(self) -> int:
        """Return how many upstreams may have run it or may yet, those still being connected to
        included."""
        return sum(one.may_have_run or one.ending is None for one in self.attempts)

    @property
    def was_sent(self) -> bool:
        """Return whether it has reached an upstream at all, so that another send is a repeat."""
        return any(one.sent for one in self.attempts)

    @property
    def tried_ids(self) -> set[str]:
        """Return the ids of the upstreams that it was sent to."""
        return {one.upstream.id for one in self.attempts}
