"""A call in the pipeline: its request, its answer and the state that filters share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..outcome import Outcome

if TYPE_CHECKING:
    from ..config.document import Rule, Service
    from ..exceptions import Refusal
    from .services import ServiceState

RawHeaders = Sequence[tuple[bytes, bytes]]
"""Header fields in order; names in lower case."""


def first_value(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of the header `name` (lower case), or None."""
    for field, value in headers:
        if field == name:
            return value
    return None


class Body(ABC):
    """A stream of bytes with back pressure: the next piece is received only when it is read.

    Hooks:
        read: Return the next piece, or b"" at the end. If the body was truncated, raise
            `CallerGone` (a request's body) or `UpstreamFailed` (an answer's body).
        open: Return a reader for one attempt to send a request's body.
        is_held: Whether that reader would begin at the first byte.
        limit: Set the maximum size; `read` raises `Refusal` beyond it.
        reserve: Account for bytes that the reader keeps in memory; raises `Refusal` if there is
            no room for them.
        release: Account for the end of that, of some bytes or of all.
        stalled_seconds: Return for how long a caller has been waited for without progress.
        evict: End that wait, since others need what the request occupies.
        close: Discard the rest; called when the body is no longer needed. May be called twice.
    """

    __slots__ = ()

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next piece, b"" at the end."""

    def open(self) -> Body:
        """Return a reader for one attempt; attempts that run at the same time share none."""
        return self

    @property
    def is_held(self) -> bool:
        """Whether a reader that is opened now begins at the first byte."""
        return False

    def limit(self, size: int) -> None:  # noqa: B027
        """Accept at most `size` bytes."""

    def reserve(self, size: int) -> None:  # noqa: B027
        """Account for `size` bytes that the reader keeps in memory."""

    def release(self, size: int | None = None) -> None:  # noqa: B027
        """Account for `size` bytes, or all, that are no longer kept."""

    def stalled_seconds(self) -> float:
        """Return the seconds for which the caller has been waited for without progress."""
        return 0.0

    def evict(self) -> None:  # noqa: B027
        """End the wait for the caller."""

    async def close(self) -> None:  # noqa: B027
        """Discard the rest of the body."""


class BytesBody(Body):
    """A body in memory; `whole` keeps its bytes after it has been read."""

    __slots__ = ("whole", "data")

    def __init__(self, data: bytes):
        self.whole = data
        self.data = data

    async def read(self) -> bytes:
        data, self.data = self.data, b""
        return data


class Request:
    """A caller's request, with its framing checked by the HTTP layer.

    `headers` has no hop-by-hop headers and none of `headers.RESERVED`. `length` is the body's size
    in bytes, 0 for no body, None for a chunked one. `body` is None when there is none. `exchange`
    is set by the pipeline.
    """

    __slots__ = ("method", "target", "headers", "length", "body", "peer", "exchange")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        length: int | None = 0,
        body: Body | None = None,
        peer: str = "",
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.body = body
        self.peer = peer
        self.exchange: Exchange | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name` (lower case), or None."""
        return first_value(self.headers, name)


class Answer:
    """The answer to the caller; `length` is as for `Request`.

    Attributes:
        deadline: Time at which the caller must have received it, in seconds on the daemon's clock.
    """

    __slots__ = ("status", "headers", "length", "body", "deadline")

    def __init__(self, status: int, headers: RawHeaders, length: int | None, body: Body | None):
        self.status = status
        self.headers = headers
        self.length = length
        self.body = body
        self.deadline = float("inf")


class Exchange:
    """One call, from its arrival to its end.

    Times are on the daemon's monotonic clock, in seconds.

    Attributes:
        deadline: Time after which the caller no longer needs the answer.
        state: State of the service, kept even if the service is removed; read it with
            `Services.state_of`.
        unproven_attempts: Number of attempts that may have run the request: it may have reached an
            upstream that did not report otherwise.
        upstream: Name of the upstream that answered.
        entered_count: Number of filters to leave.
        notes: Lines, or steps that `str` turns into lines, for the journal of decisions; None if
            there are none yet.
    """

    __slots__ = (
        "id",
        "request",
        "arrived",
        "deadline",
        "caller",
        "key",
        "service",
        "state",
        "rule",
        "claim",
        "fingerprint",
        "attempts",
        "unproven_attempts",
        "answer",
        "refusal",
        "upstream",
        "entered_count",
        "notes",
    )

    def __init__(self, request_id: str, request: Request, arrived: float):
        self.id = request_id
        self.request = request
        self.arrived = arrived
        self.deadline = 0.0
        self.caller = ""
        self.key: str | None = None
        self.service: Service | None = None
        self.state: ServiceState | None = None
        self.rule: Rule | None = None
        self.claim: object | None = None
        self.fingerprint: str | None = None
        self.attempts = 0
        self.unproven_attempts = 0
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        self.upstream = ""
        self.entered_count = 0
        self.notes: list[object] | None = None

    @property
    def outcome(self) -> Outcome:
        """Whether the request may have run, as a refusal reports it."""
        return Outcome.UNKNOWN if self.unproven_attempts else Outcome.NOT_RUN

    def note(self, line: object) -> None:
        """Add a line, or a step of `operators.steps`, to the journal of decisions."""
        if self.notes is None:
            self.notes = []
        self.notes.append(line)
