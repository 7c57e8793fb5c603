"""What a VM knows of one upstream, and how it fades. No I/O; time is an argument."""

from __future__ import annotations

from math import exp

from .load import UpstreamLoad

FAILURE_DECAY_SECONDS = 4.0
"""Seconds in which failures and successes lose two thirds of their weight: upstreams that fail do
so for some seconds, and one that has been mended must not stay out of use for long."""

PRIOR_CALLS = 2.0
"""Calls' worth of trust that an upstream has before anything is known of it: one failure alone
does not condemn it."""

PRIOR_FAILURE_RATE = 0.02
"""Share of failures that is expected of an upstream of which nothing is known."""

LATENCY_RATIO_DECAY_SECONDS = 4.0
"""Seconds in which the memory of an upstream's own slowness fades by two thirds."""

LATENCY_RATIO_WEIGHT = 0.3
"""Weight of the latest call in the logarithm of an upstream's pace: three calls that take five
times as long tell a slow upstream, one alone does not."""

MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.5, 20.0
"""Bounds on one call's part in the pace, so that a single odd call cannot outweigh all others."""

MIN_PROBE_BACKOFF, MAX_PROBE_BACKOFF = 0.25, 2.0
"""Seconds for which an upstream that did not answer a probe is not asked again; doubles up to the
longest. Waiting for a silent upstream costs each call the whole patience of its probes."""

PROBE_WAIT = 0.03
"""Seconds within which a health check is answered; upstreams do so within 1 to 5 ms."""

PROBE_TIMEOUT = 0.4
"""Seconds after which a probe is given up: healthy upstreams answer within milliseconds, and one
lost packet is sent again after 0.2 s."""

PEER_FAILURE_WEIGHT = 0.7
"""Weight of a failure that another VM saw: some upstreams fail only some VMs."""

OVERDUE_FACTOR = 2.5
"""Times its expected duration after which an open call says that something is wrong."""


class DecayingSum:
    """A sum whose parts lose weight exponentially with their age."""

    __slots__ = ("value", "updated_at", "decay_seconds")

    def __init__(self, decay_seconds: float):
        self.value = 0.0
        self.updated_at = 0.0
        self.decay_seconds = decay_seconds

    def value_at(self, now: float) -> float:
        """Return the sum with all parts faded up to `now`."""
        if self.value and now > self.updated_at:
            self.value *= exp((self.updated_at - now) / self.decay_seconds)
        self.updated_at = now
        return self.value

    def add(self, amount: float, now: float) -> None:
        """Add a part that is fresh at `now`."""
        self.value = self.value_at(now) + amount


class OpenCall:
    """A call that an upstream has now; times in seconds."""

    __slots__ = ("started", "expected_duration")

    def __init__(self, started: float, expected_duration: float):
        self.started = started
        self.expected_duration = expected_duration


class UpstreamStats:
    """What this VM knows of one upstream.

    Attributes:
        load: The upstream's last word on its load, heard at `load_at`, or None.
        sent_since: Calls that are known to have been sent to it since then.
        open_calls: Own calls that it has now.
        pace: How many times longer its calls take than its reports let expect.
        healthy: Its last answer to a health check; it may be mistaken.
        silent: Health checks in a row that it did not answer.
        retry_at: When it may be asked again after such silence.
        asked_at: When the oldest health check that is still open was sent, or None.
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

    def record_load_report(self, load: UpstreamLoad, now: float) -> None:
        """The upstream told its load."""
        self.load = load
        self.load_reported_at = now
        self.sent_since_report = 0

    def record_probe_sent(self, now: float) -> None:
        """A health check was sent."""
        if self.probe_sent_at is None:
            self.probe_sent_at = now

    def record_probe_not_sent(self) -> None:
        """The health check could not be sent, for a reason of this VM's own."""
        self.probe_sent_at = None

    def record_probe_answer(self, healthy: bool) -> None:
        """The upstream answered a health check."""
        self.probe_sent_at = None
        self.healthy = healthy
        self.unanswered_probes = 0
        self.next_probe_at = 0.0

    def record_probe_failure(self, now: float) -> None:
        """The upstream did not answer a health check in time."""
        self.probe_sent_at = None
        backoff = min(MAX_PROBE_BACKOFF, MIN_PROBE_BACKOFF * 2**self.unanswered_probes)
        self.unanswered_probes += 1
        self.next_probe_at = now + backoff

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it left its last health check unanswered, or the open one for too long."""
        open_for_long = self.probe_sent_at is not None and now - self.probe_sent_at > PROBE_WAIT
        return self.unanswered_probes > 0 or open_for_long

    def is_probe_due(self, now: float) -> bool:
        """Return whether it is time to see if it answers health checks again."""
        return (
            self.unanswered_probes > 0 and self.probe_sent_at is None and now >= self.next_probe_at
        )

    def record_send(self) -> None:
        """A call is on its way to it, from this VM or from another."""
        self.sent_since_report += 1

    def add_open_call(self, call: OpenCall) -> None:
        """This VM has a call open there."""
        self.open_calls.append(call)

    def remove_open_call(self, call: OpenCall) -> None:
        """A call is over, however it ended."""
        self.open_calls.remove(call)

    def record_success(self, now: float) -> None:
        """A call was answered well."""
        self.calls.add(1.0, now)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """A call failed, here or (with less weight) at another VM."""
        self.calls.add(weight, now)
        self.failures.add(weight, now)

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """A call took `ratio` times as long as expected."""
        ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        latency_ratio = self.latency_ratio_at(now)
        self.latency_ratio = latency_ratio * (ratio / latency_ratio) ** LATENCY_RATIO_WEIGHT
        self.latency_ratio_updated_at = now

    def latency_ratio_at(self, now: float) -> float:
        """Return the pace, faded towards 1."""
        return 1.0 + (self.latency_ratio - 1.0) * exp(
            (self.latency_ratio_updated_at - now) / LATENCY_RATIO_DECAY_SECONDS
        )

    def failure_rate(self, now: float) -> float:
        """Return the share of calls that it is expected to fail."""
        failures = self.failures.value_at(now) + PRIOR_FAILURE_RATE * PRIOR_CALLS
        return min(1.0, failures / (self.calls.value_at(now) + PRIOR_CALLS))

    def overdue_calls(self, now: float) -> int:
        """Return how many open calls have taken far longer than expected."""
        return sum(
            now - call.started > OVERDUE_FACTOR * call.expected_duration for call in self.open_calls
        )
