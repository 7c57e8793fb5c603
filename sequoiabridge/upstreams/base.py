"""Abstract base classes of the HTTP client: connections to upstreams and their pool."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..pipeline.exchange import Answer, Body, RawHeaders
from .link import Link


class UpstreamRequest:
    """A request to an upstream.

    Args:
        headers: All headers except those that frame the body, which the connection adds.
        length: Length of the body in bytes, or None to send it chunked.
        is_answer: Returns whether an answer with the given headers belongs to this request. Other
            answers are late ones to earlier requests and are discarded. None accepts any answer.
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

    All methods may raise `UpstreamFailed`. After that, or after a cancellation, the connection must
    be returned with `Connector.release`, which closes it unless it `is_reusable`.

    Attributes:
        via: VM of the peer through which it was opened, "" for a direct connection.
        opened_at: Time at which it was opened, in seconds on the daemon's clock.
        last_received_at: Time of the last byte from the upstream, on the same clock.
        requests: Number of requests sent on it.
    """

    @abstractmethod
    async def send(self, request: UpstreamRequest) -> None:
        """Send the request's head and its complete body."""

    @abstractmethod
    async def read_head(self) -> Answer:
        """Wait for the answer's head.

        May be cancelled and called again. The answer's body reads from this connection and
        releases it when the body ends or is closed; calling `Connector.release` as well has no
        effect. Interim answers (1xx) are skipped.
        """

    @property
    @abstractmethod
    def is_reusable(self) -> bool:
        """Whether the last answer was complete and another request may be sent."""

    @abstractmethod
    async def close(self) -> None:
        """Close immediately; this also cancels the request in flight."""


class LinkOpener(ABC):
    """Opens links to upstreams, and decides whether idle ones may be used again."""

    @abstractmethod
    async def open(self, address: str, timeout: float) -> Link:
        """Open a link to `address` ("IP:port") within `timeout` seconds.

        Raises:
            UpstreamFailed: It could not be opened; `sent` is false.
        """

    @abstractmethod
    def may_reuse(self, link: Link) -> bool:
        """Return whether an idle link may carry another request."""


class Connector(ABC):
    """A pool of connections, limited to this daemon's share for each upstream."""

    @abstractmethod
    async def acquire(self, address: str, *, fresh: bool, timeout: float) -> UpstreamConnection:
        """Return a connection to `address` ("IP:port") for exclusive use until its release.

        Args:
            fresh: Open a new connection instead of reusing an idle one.
            timeout: Maximum seconds to wait for a new connection to open.

        Raises:
            UpstreamFailed: It could not be opened, or the share is in use; `sent` is false.
        """

    @abstractmethod
    def has_free(self, address: str) -> bool:
        """Return whether the share leaves a connection to `address` for another `acquire`."""

    @abstractmethod
    async def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool; it is closed if it cannot be reused."""

    @abstractmethod
    async def close_older(self, address: str, opened_before: float) -> None:
        """Close idle connections to `address` that were opened before the given time.

        Connections in use that are as old are closed when they are released.
        """

    @abstractmethod
    async def is_reachable(self, address: str, timeout: float) -> bool:
        """Return whether `address` accepts a new connection within `timeout` seconds.

        The connection is closed immediately and does not count against the share.
        """
