"""What decisions ask of the world: the daemon does it on the network, a model in its own time.

A decision that needs something is a generator. It yields a step and is sent what came of it.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from typing import TypeVar

from .call import CallAttempt
from .cost_model import CostEstimate
from .upstream import Upstream


class Probe:
    """Ask upstreams for their load; go on when all have answered or `patience` seconds are over.

    What comes later is taken in all the same.
    """

    __slots__ = ("upstreams", "timeout")

    def __init__(self, upstreams: Sequence[Upstream], timeout: float):
        self.upstreams = upstreams
        self.timeout = timeout


class BackgroundProbe:
    """Ask an upstream that did not answer lately, without waiting for its answer."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: Upstream):
        self.upstream = upstream


class Sleep:
    """Go on after `seconds`."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float):
        self.seconds = seconds


class Send:
    """Send the call to an upstream; the attempt, which has begun, comes of it."""

    __slots__ = ("estimate",)

    def __init__(self, estimate: CostEstimate):
        self.estimate = estimate


class Wait:
    """Wait until an attempt has ended, which comes of it, or until a time, and then None does."""

    __slots__ = ("until",)

    def __init__(self, until: float):
        self.until = until


class CancelAttempt:
    """End an attempt that still runs; `Wait` returns it soon."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: CallAttempt):
        self.attempt = attempt


Step = Probe | BackgroundProbe | Sleep | Send | Wait | CancelAttempt

Result = TypeVar("Result")
Steps = Generator[Step, CallAttempt | None, Result]
"""A decision that returns a `Result` after some steps."""
