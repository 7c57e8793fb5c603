"""Decaying statistics of one upstream, as this VM observes it. No I/O; time is an argument."""

from __future__ import annotations

from math import exp

from .load import UpstreamLoad
from .request_limit import RequestLimit
from .rest import Rest

FAILURE_DECAY_SECONDS = 4.0
"""Time constant in seconds of the exponential decay of successes and failures. Upstreams that fail
do so for some seconds, and one that has recovered must not stay out of use for long."""

PRIOR_CALLS = 2.0
"""Weight, in calls, of the prior failure rate. It keeps one failure alone from condemning an
upstream."""

PRIOR_FAILURE_RATE = 0.02
"""Failure rate assumed of an upstream without recorded calls."""

LATENCY_RATIO_DECAY_SECONDS = 4.0
"""Time constant in seconds with which the latency ratio decays towards 1."""

LATENCY_RATIO_WEIGHT = 0.3
"""Weight of a new call in the moving average of the logarithm of the latency ratio. Three calls
that take five times as long show a slow upstream, one alone does not."""

MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.5, 20.0
"""Bounds on the latency ratio of one call, which limit the effect of outliers."""

MIN_PROBE_BACKOFF, MAX_PROBE_BACKOFF = 0.25, 2.0
"""Initial and maximum seconds between probes of an unresponsive upstream; doubles in between."""

PROBE_WAIT = 0.03
"""Seconds that a decision waits for the answers to its probes. An upstream that takes longer counts
as unresponsive until it answers. Upstreams answer within 1 to 5 ms."""

PROBE_TIMEOUT = 0.4
"""Timeout of a probe in seconds; long enough for one retransmission."""

PEER_FAILURE_WEIGHT = 0.7
"""Weight of a failure that a peer observed; some upstreams fail only for some VMs."""

OVERDUE_FACTOR = 2.5
"""Multiple of its expected duration after which an open call is overdue."""


class DecayingSum:
    """A sum whose terms decay exponentially with time.

    Args:
        decay_seconds: Time constant of the decay in seconds.
    """

    __slots__ = ("value", "updated_at", "decay_seconds")

    def __init__(self, decay_seconds: float):
        self.value = 0.0
        self.updated_at = 0.0
        self.decay_seconds = decay_seconds

    def value_at(self, now: float) -> float:
        """Return the sum, decayed up to `now`."""
        if self.value and now > self.updated_at:
            self.value *= exp((self.updated_at - now) / self.decay_seconds)
        self.updated_at = now
        return self.value

    def add(self, amount: float, now: float) -> None:
        """Add `amount` at the time `now`."""
        self.value = self.value_at(now) + amount


class OpenCall:
    """A call of this VM that is open at an upstream.

    Attributes:
        started: Start time in seconds.
        expected_duration: Expected duration in seconds.
    """

    __slots__ = ("started", "expected_duration")

    def __init__(self, started: float, expected_duration: float):
        self.started = started
        self.expected_duration = expected_duration


class UpstreamStats:
    """Statistics of one upstream. Times are in seconds on the daemon's clock.

    Attributes:
        load: Latest load report, or None.
        load_reported_at: Time at which it was received.
        sent_since_report: Number of calls known to have been sent to the upstream since then.
        open_calls: Open calls of this VM at the upstream.
        calls, failures: Decaying numbers of calls and of failed calls.
        latency_ratio: Ratio of measured to expected duration at `latency_ratio_updated_at`.
        healthy: Whether the upstream reported itself healthy in its latest answer to a probe.
        unanswered_probes: Number of consecutive unanswered probes.
        next_probe_at: Time from which an unresponsive upstream is probed again.
        probe_sent_at: Time at which the oldest open probe was sent, or None.
        settled_until: Everything that was sent to the upstream up to this time has been read or
            is lost: it has answered something sent then, or nothing listened at its address.
        answered_until: Latest time at which something was sent to it that it has answered.
        abandoned_calls: Number of calls that this VM gave up there without an answer, since then.
        request_limit: The limit that the upstream named.
        rest: The rests that it asked of this VM.
    """

    __slots__ = (
        "load",
        "load_reported_at",
        "sent_since_report",
        "open_calls",
        "calls",
        "failures",
        "latency_ratio",
        "latency_ratio_updated_at",
        "healthy",
        "unanswered_probes",
        "next_probe_at",
        "probe_sent_at",
        "settled_until",
        "answered_until",
        "abandoned_calls",
        "request_limit",
        "rest",
    )

    def __init__(self) -> None:
        self.load: UpstreamLoad | None = None
        self.load_reported_at = float("-inf")
        self.sent_since_report = 0
        self.open_calls: list[OpenCall] = []
        self.calls = DecayingSum(FAILURE_DECAY_SECONDS)
        self.failures = DecayingSum(FAILURE_DECAY_SECONDS)
        self.latency_ratio = 1.0
        self.latency_ratio_updated_at = 0.0
        self.healthy = True
        self.unanswered_probes = 0
        self.next_probe_at = 0.0
        self.probe_sent_at: float | None = None
        self.settled_until = float("-inf")
        self.answered_until = float("-inf")
        self.abandoned_calls = 0
        self.request_limit = RequestLimit()
        self.rest = Rest()

    def record_answered(self, sent_at: float) -> None:
        """Record that the upstream itself has answered something that was sent at `sent_at`."""
        self.answered_until = max(self.answered_until, sent_at)
        self.record_settled(sent_at)

    def record_settled(self, sent_at: float) -> None:
        """Record that everything sent up to `sent_at` has been read or is lost."""
        if sent_at > self.settled_until:
            self.settled_until = sent_at
            self.abandoned_calls = 0

    def record_load_report(self, load: UpstreamLoad, now: float) -> None:
        """Record a load report."""
        self.load = load
        self.load_reported_at = now
        self.sent_since_report = 0

    def record_probe_sent(self, now: float) -> None:
        """Record that a probe was sent."""
        if self.probe_sent_at is None:
            self.probe_sent_at = now

    def record_probe_not_sent(self) -> None:
        """Record that a probe could not be sent for a local reason, such as no free connection."""
        self.probe_sent_at = None

    def record_probe_answer(self, healthy: bool) -> None:
        """Record the answer to a probe."""
        self.probe_sent_at = None
        self.healthy = healthy
        self.unanswered_probes = 0
        self.next_probe_at = 0.0

    def record_probe_failure(self, now: float) -> None:
        """Record an unanswered probe; the next one follows after an exponential backoff."""
        self.probe_sent_at = None
        backoff = min(MAX_PROBE_BACKOFF, MIN_PROBE_BACKOFF * 2**self.unanswered_probes)
        self.unanswered_probes += 1
        self.next_probe_at = now + backoff

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the latest probe was not answered, or not within `PROBE_WAIT` so far."""
        open_for_long = self.probe_sent_at is not None and now - self.probe_sent_at > PROBE_WAIT
        return self.unanswered_probes > 0 or open_for_long

    def is_probe_due(self, now: float) -> bool:
        """Return whether the upstream is unresponsive and due to be probed again."""
        return (
            self.unanswered_probes > 0 and self.probe_sent_at is None and now >= self.next_probe_at
        )

    def record_send(self) -> None:
        """Record that this VM or a peer sent a call to the upstream."""
        self.sent_since_report += 1

    def add_open_call(self, call: OpenCall) -> None:
        """Add an open call of this VM."""
        self.open_calls.append(call)

    def remove_open_call(self, call: OpenCall) -> None:
        """Remove a call of this VM that has ended."""
        self.open_calls.remove(call)

    def record_success(self, now: float) -> None:
        """Record a successful call."""
        self.calls.add(1.0, now)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a failed call; a failure that a peer observed has a lower weight."""
        self.calls.add(weight, now)
        self.failures.add(weight, now)

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """Record a call that took `ratio` times its expected duration."""
        ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        latency_ratio = self.latency_ratio_at(now)
        self.latency_ratio = latency_ratio * (ratio / latency_ratio) ** LATENCY_RATIO_WEIGHT
        self.latency_ratio_updated_at = now

    def latency_ratio_at(self, now: float) -> float:
        """Return the latency ratio, decayed towards 1."""
        return 1.0 + (self.latency_ratio - 1.0) * exp(
            (self.latency_ratio_updated_at - now) / LATENCY_RATIO_DECAY_SECONDS
        )

    def failure_rate(self, now: float) -> float:
        """Return the expected share of failed calls."""
        failures = self.failures.value_at(now) + PRIOR_FAILURE_RATE * PRIOR_CALLS
        return min(1.0, failures / (self.calls.value_at(now) + PRIOR_CALLS))

    def overdue_calls(self, now: float) -> int:
        """Return the number of overdue open calls."""
        return sum(
            now - call.started > OVERDUE_FACTOR * call.expected_duration for call in self.open_calls
        )
