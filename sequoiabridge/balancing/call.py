"""A call and its attempts, as the load-balancing decisions use them."""

from __future__ import annotations

from enum import Enum

from ..exceptions import SequoiaError
from .cost_model import CostEstimate
from .load import UpstreamLoad
from .routes import Route
from .upstream import Upstream

MIN_FAILURE_STATUS = 500
"""Lowest HTTP status that counts as a failure."""


class Ending(Enum):
    """How an attempt at an upstream ended."""

    ANSWERED = "answered"
    """The upstream answered completely."""
    NOT_SENT = "not-sent"
    """No connection could be opened; nothing reached the upstream."""
    NOT_RUN = "not-run"
    """The upstream stated that it did not run the call."""
    WITHHELD = "withheld"
    """The upstream might get no call any more when this one was about to be sent."""
    BROKEN = "broken"
    """The call was sent but no usable answer was received; it may have run."""
    CANCELLED = "cancelled"
    """The daemon cancelled the attempt; the call may have run."""
    RESTARTED = "restarted"
    """The upstream restarted during the attempt; the call may have run."""


PROVEN_NOT_RUN = frozenset({Ending.NOT_SENT, Ending.NOT_RUN, Ending.WITHHELD})
"""Endings after which the call certainly did not run."""


class CallAttempt:
    """One attempt to send a call to an upstream. Times are in seconds on the daemon's clock.

    Attributes:
        estimate: The cost estimate by which the upstream was chosen.
        started: Time at which the attempt started.
        ended_at: Time at which it ended.
        sent: Whether a byte of the call may have reached the upstream.
        sent_at: Time at which sending it began, 0.0 before.
        ending: How the attempt ended, None while it is running.
        why: Reason of a failure, for the log.
        error: Fault of the caller while its body was being forwarded, or None.
        status: HTTP status of the upstream's answer, 0 without a usable answer.
        size: Size of the answer in bytes, 0 if unknown.
        is_streamed: Whether the answer is being streamed and can no longer be replaced.
        load: Load report in the answer, or None.
        wrong_upstream: Whether another upstream answered at the address.
        via: VM of the peer through which it was sent, "" if it was sent directly.
        lacked_connection: Whether it was not sent since this VM had no free connection.
        connection_failed: Whether its connection failed before any answer, which may be the path's
            fault; another part decides whether it counts as a failure of the upstream.
        next_check_at: Time of the next check whether to hedge the attempt.
    """

    __slots__ = (
        "estimate",
        "started",
        "ended_at",
        "sent",
        "sent_at",
        "ending",
        "why",
        "error",
        "status",
        "size",
        "is_streamed",
        "load",
        "wrong_upstream",
        "via",
        "lacked_connection",
        "connection_failed",
        "next_check_at",
    )

    def __init__(self, estimate: CostEstimate, started: float):
        self.estimate = estimate
        self.started = started
        self.ended_at = 0.0
        self.sent = False
        self.sent_at = 0.0
        self.ending: Ending | None = None
        self.why = ""
        self.error: SequoiaError | None = None
        self.status = 0
        self.size = 0
        self.is_streamed = False
        self.load: UpstreamLoad | None = None
        self.wrong_upstream = False
        self.via = ""
        self.lacked_connection = False
        self.connection_failed = False
        self.next_check_at = 0.0

    @property
    def upstream(self) -> Upstream:
        """Return the upstream of the attempt."""
        return self.estimate.upstream

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have run the call or be running it."""
        return self.sent and self.ending not in PROVEN_NOT_RUN

    @property
    def is_success(self) -> bool:
        """Return whether the upstream's answer is a success."""
        return 0 < self.status < MIN_FAILURE_STATUS

    @property
    def is_final(self) -> bool:
        """Return whether the answer is final and other attempts are no longer needed."""
        return self.is_success or (self.status > 0 and self.is_streamed)


class Call:
    """A call of a caller. Times are in seconds on the daemon's clock.

    Attributes:
        arrived: Time at which the request head was received.
        deadline: Time by which the caller must have a final answer.
        prior_wait: Seconds that the caller has probably waited in earlier requests.
        late_at: Time from which an answer is late.
        route: The route of the call, None until it is known.
        service: Name of the service, empty until it is known.
        length: Size of the body in bytes.
        replayable: Whether several attempts can send the call at the same time; its body, if any,
            is in memory.
        body_seconds: Time in seconds that receiving the body took.
        held_seconds: Time in seconds for which it has been held for capacity.
        attempts: All attempts, in order.
        open_attempts: Attempts whose end has not been processed.
        fallback: Attempt that the upstream answered with a failure. Its answer is used if no other
            attempt succeeds.
        considered: Cost estimates of the latest choice, in the order of preference.
        excluded: Why upstreams could not be chosen at the latest choice, by their ids.
        note: Reason why the call was not sent again, for the log.
        retry_tokens: Number of tokens that it has taken from the retry budget and not settled.
        recorded_sends: Number of ended attempts that were sent and have been recorded.
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
        "held_seconds",
        "attempts",
        "open_attempts",
        "fallback",
        "considered",
        "excluded",
        "note",
        "retry_tokens",
        "recorded_sends",
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
        self.held_seconds = 0.0
        self.attempts: list[CallAttempt] = []
        self.open_attempts: list[CallAttempt] = []
        self.fallback: CallAttempt | None = None
        self.considered: list[CostEstimate] = []
        self.excluded: dict[str, str] = {}
        self.note = ""
        self.retry_tokens = 0
        self.recorded_sends = 0

    def apply_route(self, route: Route, caller_timeout: float | None) -> None:
        """Set the route, and the deadlines from it and the timeout that the caller stated."""
        self.route = route
        timeout = route.timeout
        if caller_timeout is not None:
            timeout = min(timeout, caller_timeout)
        self.deadline = self.arrived + timeout
        self.late_at = self.arrived + min(route.target_latency, timeout)

    def add_prior_wait(self, seconds: float) -> None:
        """Record that the caller has waited before, so that the answer is late earlier."""
        self.prior_wait = seconds
        self.late_at -= seconds

    @property
    def can_resend(self) -> bool:
        """Return whether another attempt can still send the whole body."""
        return self.replayable

    @property
    def possible_runs(self) -> int:
        """Return the number of upstreams that may have run the call or be running it."""
        return sum(one.may_have_run for one in self.attempts)

    @property
    def possible_or_pending_runs(self) -> int:
        """Return the number of upstreams that may have run the call or may still run it, including
        those still being connected to."""
        return sum(one.may_have_run or one.ending is None for one in self.attempts)

    @property
    def was_sent(self) -> bool:
        """Return whether any attempt may have reached its upstream."""
        return any(one.sent for one in self.attempts)

    @property
    def tried_ids(self) -> set[str]:
        """Return the ids of the upstreams that the call was sent to."""
        return {one.upstream.id for one in self.attempts if not one.lacked_connection}

    @property
    def tried_count(self) -> int:
        """Return the number of attempts, without those for which no connection was free."""
        return sum(not one.lacked_connection for one in self.attempts)
