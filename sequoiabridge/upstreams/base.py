"""Connections to upstreams behind an abstract base, so that the HTTP codec is one module."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..pipeline.exchange import Answer, Body, RawHeaders


class UpstreamRequest:
    """What is sent to an upstream; `headers` carry everything but the body's framing.

    `is_answer` tells by its headers whether an answer belongs to this request; one that does not
    is a late one of an earlier request and is passed over. None takes any.
    """

    __slots__ = ("method", "target", "headers", "length", "body", "is_answer")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        length: int | None = 0,
        body: Body | None = None,
        is_answer: Callable[[RawHeaders], bool] | None = None,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.body = body
        self.is_answer = is_answer


class UpstreamConnection(ABC):
    """One connection, used by one request at a time.

    All methods raise `UpstreamFailed`; after that, or after a cancellation, the connection must
    be given back with `Connector.release`, which closes everything that did not end cleanly.

    Attributes:
        opened_at: Time at which it was opened, in seconds on the daemon's clock.
        last_received_at: Time of the last byte that came from the upstream.
        requests: How many requests it has carried.
    """

    @abstractmethod
    async def send(self, request: UpstreamRequest) -> None:
        """Send the request's head and its whole body."""

    @abstractmethod
    async def read_head(self) -> Answer:
        """Wait for the answer's head.

        May be cancelled and called again. The answer's body reads from this connection, and
        gives it back when it has ended or is closed; `Connector.release` is then not needed, and
        does no harm. Interim answers (1xx) are passed over.
        """

    @property
    @abstractmethod
    def is_reusable(self) -> bool:
        """True if the last answer ended cleanly and another request may be sent."""

    @abstractmethod
    async def close(self) -> None:
        """Close at once; also the way to cancel the request that it carries."""


class Connector(ABC):
    """Opens, lends and takes back connections, at most the daemon's share for each upstream."""

    @abstractmethod
    async def acquire(self, address: str, *, fresh: bool, timeout: float) -> UpstreamConnection:
        """Lend a connection to `address` ("IP:port").

        Args:
            fresh: Open a new one; do not trust one that is open already.
            timeout: Seconds to wait for it to open.

        Raises:
            UpstreamFailed: It could not be opened, or the share is used up; `sent` is false.
        """

    @abstractmethod
    async def release(self, connection: UpstreamConnection) -> None:
        """Take a connection back; keep it for reuse only if it is `is_reusable`."""

    @abstractmethod
    async def close_older(self, address: str, opened_before: float) -> None:
        """Close the idle connections to `address` that were opened before the given time."""

    @abstractmethod
    async def is_reachable(self, address: str, timeout: float) -> bool:
        """Return whether `address` takes a new connection within `timeout` seconds.

        The connection is closed at once and counts against no share.
        """
