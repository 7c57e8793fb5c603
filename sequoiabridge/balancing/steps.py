"""The actions that decisions request; the daemon performs them, a simulation models them.

A decision is a generator that yields steps and is sent the result of each.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from typing import TypeVar

from .call import CallAttempt
from .cost_model import CostEstimate
from .upstream import Upstream


class Probe:
    """Probe upstreams; continue when all have answered or after `timeout` seconds.

    Later answers are recorded as well.
    """

    __slots__ = ("upstreams", "timeout")

    def __init__(self, upstreams: Sequence[Upstream], timeout: float):
        self.upstreams = upstreams
        self.timeout = timeout


class BackgroundProbe:
    """Probe an unresponsive upstream without waiting for the answer."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: Upstream):
        self.upstream = upstream


class RequestPermit:
    """Request a permit to send one call to an upstream with a limit; the result is a bool.

    Attributes:
        priority: Priority of the call; 0 is the most urgent.
    """

    __slots__ = ("upstream", "priority")

    def __init__(self, upstream: Upstream, priority: int):
        self.upstream = upstream
        self.priority = priority


class Sleep:
    """Continue after `seconds`."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float):
        self.seconds = seconds


class Send:
    """Send the call to the upstream of `estimate`; the result is the started attempt."""

    __slots__ = ("estimate",)

    def __init__(self, estimate: CostEstimate):
        self.estimate = estimate


class Wait:
    """Wait until an attempt has ended; the result is that attempt, or None at the time `until`.

    Answers that have arrived by then are read first, also if `until` has passed already.
    """

    __slots__ = ("until",)

    def __init__(self, until: float):
        self.until = until


class CancelAttempt:
    """Cancel a running attempt; a later `Wait` returns it."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: CallAttempt):
        self.attempt = attempt


Step = Probe | BackgroundProbe | RequestPermit | Sleep | Send | Wait | CancelAttempt

Result = TypeVar("Result")
Steps = Generator[Step, CallAttempt | bool | None, Result]
"""A decision: yields steps and returns a `Result`."""
