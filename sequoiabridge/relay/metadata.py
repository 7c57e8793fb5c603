"""Metadata of calls, answers and health checks, decoded from their headers by a dialect."""

from __future__ import annotations

from ..balancing.departure import DepartureReport
from ..balancing.load import UpstreamLoad
from ..balancing.request_limit import LimitReport
from ..balancing.rest import RestReport


class CallMetadata:
    """Metadata of a call, set by its caller.

    Attributes:
        id: Id of the call, b"" if the caller set none. The upstream repeats it in its answer.
        timeout: Seconds for which the caller waits for the answer, None if not set.
    """

    __slots__ = ("id", "timeout")

    def __init__(self, id: bytes, timeout: float | None):
        self.id = id
        self.timeout = timeout


class AnswerMetadata:
    """Metadata of an upstream's answer to a call.

    Attributes:
        not_run: The upstream did not run the request and never will.
        other_upstream: The address now belongs to another upstream than the intended one.
        genuine: The answer carries the upstream's signature and no content encoding. A successful
            answer that is not genuine must not reach the caller.
        load: The upstream's load, or None.
        limit: What it says of the upstream's limit on requests.
        rest: What it says of a rest.
        departure: What it says of the upstream's leaving.
        unknown: Names of its headers that the dialect does not know.
    """

    __slots__ = (
        "not_run",
        "other_upstream",
        "genuine",
        "load",
        "limit",
        "rest",
        "departure",
        "unknown",
    )

    def __init__(
        self,
        not_run: bool,
        other_upstream: bool,
        genuine: bool,
        load: UpstreamLoad | None,
        limit: LimitReport,
        rest: RestReport,
        departure: DepartureReport,
        unknown: list[bytes],
    ):
        self.not_run = not_run
        self.other_upstream = other_upstream
        self.genuine = genuine
        self.load = load
        self.limit = limit
        self.rest = rest
        self.departure = departure
        self.unknown = unknown

    @property
    def proves_not_run(self) -> bool:
        """Return whether the answer's head alone proves that the request did not run."""
        return self.not_run or self.other_upstream


class HealthMetadata:
    """Metadata of an upstream's answer to a health check.

    Attributes:
        healthy: The upstream reports that it is healthy and not leaving; calls may still fail.
        upstream: Id of the upstream that answered, "" if not set.
        load: Its load, or None.
        limit: What it says of its limit on requests.
        rest: What it says of a rest.
        departure: What it says of its leaving.
    """

    __slots__ = ("healthy", "upstream", "load", "limit", "rest", "departure")

    def __init__(
        self,
        healthy: bool,
        upstream: str,
        load: UpstreamLoad | None,
        limit: LimitReport,
        rest: RestReport,
        departure: DepartureReport,
    ):
        self.healthy = healthy
        self.upstream = upstream
        self.load = load
        self.limit = limit
        self.rest = rest
        self.departure = departure
