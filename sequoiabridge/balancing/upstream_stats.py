"""What a VM knows of one upstream, and how it fades. No I/O; time is an argument."""

from __future__ import annotations

from math import exp

from .load import UpstreamLoad

FAILURE_MEMORY = 4.0
"""Seconds in which failures and successes lose two thirds of their weight: upstreams that fail do
so for some seconds, and one that has been mended must not stay out of use for long."""

TRIAL_WEIGHT = 2.0
"""Calls' worth of trust that an upstream has before anything is known of it: one failure alone
does not condemn it."""

TRIAL_FAILURES = 0.02
"""Share of failures that is expected of an upstream of which nothing is known."""

PACE_MEMORY = 4.0
"""Seconds in which the memory of an upstream's own slowness fades by two thirds."""

PACE_STEP = 0.3
"""Weight of the latest call in the logarithm of an upstream's pace: three calls that take five
times as long tell a slow upstream, one alone does not."""

LEAST_PACE, MOST_PACE = 0.5, 20.0
"""Bounds on one call's part in the pace, so that a single odd call cannot outweigh all others."""

FIRST_BACKOFF, LONGEST_BACKOFF = 0.25, 2.0
"""Seconds for which an upstream that did not answer a probe is not asked again; doubles up to the
longest. Waiting for a silent upstream costs each call the whole patience of its probes."""

PROMPT = 0.03
"""Seconds within which a health check is answered; upstreams do so within 1 to 5 ms."""

ANSWER_LIMIT = 0.4
"""Seconds after which a probe is given up: healthy upstreams answer within milliseconds, and one
lost packet is sent again after 0.2 s."""

HEARSAY = 0.7
"""Weight of a failure that another VM saw: some upstreams fail only some VMs."""

OVERDUE = 2.5
"""Times its expected duration after which an open call says that something is wrong."""


class Fading:
    """A sum whose parts lose weight exponentially with their age."""

    __slots__ = ("value", "at", "memory")

    def __init__(self, memory: float):
        self.value = 0.0
        self.at = 0.0
        self.memory = memory

    def now(self, now: float) -> float:
        """Return the sum with all parts faded up to `now`."""
        if self.value and now > self.at:
            self.value *= exp((self.at - now) / self.memory)
        self.at = now
        return self.value

    def add(self, amount: float, now: float) -> None:
        """Add a part that is fresh at `now`."""
        self.value = self.now(now) + amount


class OpenCall:
    """A call that an upstream has now; times in seconds."""

    __slots__ = ("started", "expected_duration")

    def __init__(self, started: float, expected_duration: float):
        self.started = started
        self.expected_duration = expected_duration


class Evidence:
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
        "load_at",
        "sent_since",
        "open_calls",
        "tries",
        "failures",
        "pace",
        "pace_at",
        "healthy",
        "silent",
        "retry_at",
        "asked_at",
    )

    def __init__(self) -> None:
        self.load: UpstreamLoad | None = None
        self.load_at = float("-inf")
        self.sent_since = 0
        self.open_calls: list[OpenCall] = []
        self.tries = Fading(FAILURE_MEMORY)
        self.failures = Fading(FAILURE_MEMORY)
        self.pace = 1.0
        self.pace_at = 0.0
        self.healthy = True
        self.silent = 0
        self.retry_at = 0.0
        self.asked_at: float | None = None

    def reported(self, load: UpstreamLoad, now: float) -> None:
        """The upstream told its load."""
        self.load = load
        self.load_at = now
        self.sent_since = 0

    def asked(self, now: float) -> None:
        """A health check was sent."""
        if self.asked_at is None:
            self.asked_at = now

    def not_asked(self) -> None:
        """The health check could not be sent, for a reason of this VM's own."""
        self.asked_at = None

    def answered_probe(self, healthy: bool) -> None:
        """The upstream answered a health check."""
        self.asked_at = None
        self.healthy = healthy
        self.silent = 0
        self.retry_at = 0.0

    def ignored_probe(self, now: float) -> None:
        """The upstream did not answer a health check in time."""
        self.asked_at = None
        pause = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**self.silent)
        self.silent += 1
        self.retry_at = now + pause

    def is_silent(self, now: float) -> bool:
        """Return whether it left its last health check unanswered, or the open one for too long."""
        open_for_long = self.asked_at is not None and now - self.asked_at > PROMPT
        return self.silent > 0 or open_for_long

    def may_be_asked(self, now: float) -> bool:
        """Return whether it is time to see if it answers health checks again."""
        return self.silent > 0 and self.asked_at is None and now >= self.retry_at

    def sent(self) -> None:
        """A call is on its way to it, from this VM or from another."""
        self.sent_since += 1

    def began(self, call: OpenCall) -> None:
        """This VM has a call open there."""
        self.open_calls.append(call)

    def ended(self, call: OpenCall) -> None:
        """A call is over, however it ended."""
        self.open_calls.remove(call)

    def succeeded(self, now: float) -> None:
        """A call was answered well."""
        self.tries.add(1.0, now)

    def failed(self, now: float, weight: float = 1.0) -> None:
        """A call failed, here or (with less weight) at another VM."""
        self.tries.add(weight, now)
        self.failures.add(weight, now)

    def measured(self, ratio: float, now: float) -> None:
        """A call took `ratio` times as long as expected."""
        ratio = min(MOST_PACE, max(LEAST_PACE, ratio))
        pace = self.pace_now(now)
        self.pace = pace * (ratio / pace) ** PACE_STEP
        self.pace_at = now

    def pace_now(self, now: float) -> float:
        """Return the pace, faded towards 1."""
        return 1.0 + (self.pace - 1.0) * exp((self.pace_at - now) / PACE_MEMORY)

    def failure_share(self, now: float) -> float:
        """Return the share of calls that it is expected to fail."""
        failures = self.failures.now(now) + TRIAL_FAILURES * TRIAL_WEIGHT
        return min(1.0, failures / (self.tries.now(now) + TRIAL_WEIGHT))

    def overdue(self, now: float) -> int:
        """Return how many open calls have taken far longer than expected."""
        return sum(
            now - call.started > OVERDUE * call.expected_duration for call in self.open_calls
        )
