"""One attempt of a call at one upstream: connect, send, read the head and a small body.

`Attempt.run` can be cancelled while it waits and called again to continue. A call therefore runs
in one task until it is hedged.
"""

from __future__ import annotations

from .. import headers
from ..exceptions import UpstreamFailed
from ..policy.base import LoadReport
from ..policy.upstream_state import UpstreamState
from ..timers import Clock
from ..upstreams.base import Connector, UpstreamConnection, UpstreamRequest
from ..upstreams.reports import parse_incarnation, parse_load
from .buffering import MAX_BUFFERED_BYTES
from .exchange import Answer, BytesBody, Exchange

MAX_TRUSTED_IDLE_SECONDS = 0.25
"""Maximum idle seconds of a connection that is reused for a call that is not idempotent."""

MIN_DEADLINE_MS = 1
"""Minimum deadline passed on, in milliseconds; some servers take 0 for no deadline."""

REPLACED_HEADERS = frozenset(
    {headers.DEADLINE, headers.UPLOAD_ID, headers.UPLOAD_OFFSET, headers.UPLOAD_DIGEST}
)
"""Request headers that are removed, or replaced by the daemon's own values."""

NOT_RUN_VALUE = b"1"


class AnswerMetadata:
    """An answer's headers for the daemon; `drain` is the draining incarnation, or None."""

    __slots__ = ("load", "drain", "not_run")

    def __init__(self) -> None:
        self.load: LoadReport | None = None
        self.drain: int | None = None
        self.not_run = False


class Attempt:
    """One attempt; `run` may be called again after a cancellation if it is `resumable`.

    Attributes:
        fresh: Whether a new connection must be opened.
        sending: Whether the request is being sent.
        sent: Whether a byte may have reached the upstream.
        started, answered_at: Times on the daemon's clock, in seconds.
        idle_seconds: How long the connection had been idle before the attempt.
    """

    __slots__ = (
        "exchange",
        "upstream",
        "connector",
        "clock",
        "fresh",
        "connection",
        "sending",
        "sent",
        "answer",
        "received",
        "metadata",
        "started",
        "answered_at",
        "idle_seconds",
    )

    def __init__(
        self,
        exchange: Exchange,
        upstream: UpstreamState,
        connector: Connector,
        clock: Clock,
        fresh: bool,
    ):
        self.exchange = exchange
        self.upstream = upstream
        self.connector = connector
        self.clock = clock
        self.fresh = fresh
        self.connection: UpstreamConnection | None = None
        self.sending = False
        self.sent = False
        self.answer: Answer | None = None
        self.received = bytearray()
        self.metadata = AnswerMetadata()
        self.started = clock.now()
        self.answered_at = 0.0
        self.idle_seconds = 0.0

    @property
    def resumable(self) -> bool:
        """True unless the attempt was interrupted while the request was being sent."""
        return not self.sending

    async def run(self) -> Answer:
        """Run, or continue, until the answer's head and a small body have been read.

        Raises:
            UpstreamFailed: The attempt failed; call `abandon`.
        """
        if self.connection is None:
            await self._connect()
        if not self.sent:
            await self._send()
        if self.answer is None:
            self.answer = await self._read_head()
        answer = self.answer
        if answer.length is not None and answer.length <= MAX_BUFFERED_BYTES:
            await self._read_small_body()
        return answer

    async def abandon(self) -> None:
        """Close the connection, which cancels the request at the upstream."""
        if self.connection is None:
            return
        connection, self.connection = self.connection, None
        await connection.close()
        await self.connector.release(connection)

    async def finish(self) -> None:
        """Release the connection after a complete answer."""
        if self.connection is None:
            return
        connection, self.connection = self.connection, None
        await self.connector.release(connection)

    async def _connect(self) -> None:
        exchange = self.exchange
        address = self.upstream.address
        remaining = exchange.deadline - self.clock.now()
        connection = await self.connector.acquire(address, fresh=self.fresh, timeout=remaining)
        self.idle_seconds = self.clock.now() - connection.last_received_at
        if not exchange.rule.idempotent and self.idle_seconds > MAX_TRUSTED_IDLE_SECONDS:
            await self.connector.release(connection)
            connection = await self.connector.acquire(address, fresh=True, timeout=remaining)
            self.idle_seconds = 0.0
        self.connection = connection

    async def _send(self) -> None:
        if self.clock.now() >= self.exchange.deadline:
            # If this VM was paused, another VM may have claimed the key: send nothing any more.
            raise UpstreamFailed("The deadline has passed.", sent=False, timed_out=True)
        self.sending = True
        self.sent = True
        exchange = self.exchange
        exchange.unproven_attempts += 1
        request = exchange.request
        body = request.body.open() if request.body is not None else None
        remaining_ms = int((exchange.deadline - self.clock.now()) * 1000)
        fields = [field for field in request.headers if field[0] not in REPLACED_HEADERS]
        fields.append((headers.REQUEST_ID, exchange.id.encode()))
        fields.append((headers.DEADLINE, b"%d" % max(MIN_DEADLINE_MS, remaining_ms)))
        outgoing = UpstreamRequest(request.method, request.target, fields, request.length, body)
        await self.connection.send(outgoing)
        self.sending = False

    async def _read_head(self) -> Answer:
        answer = await self.connection.read_head()
        self.answered_at = self.clock.now()
        passed_on = []
        for field in answer.headers:
            if field[0] in headers.RESERVED:
                self._record_metadata(field)
            else:
                passed_on.append(field)
        passed_on.append((headers.REQUEST_ID, self.exchange.id.encode()))
        answer.headers = passed_on
        return answer

    def _record_metadata(self, field: tuple[bytes, bytes]) -> None:
        """Record a header of the answer that is meant for the daemon."""
        name, value = field
        if name == headers.LOAD:
            self.metadata.load = parse_load(value)
        elif name == headers.DRAIN:
            self.metadata.drain = parse_incarnation(value)
        elif name == headers.NOT_RUN:
            self.metadata.not_run = value == NOT_RUN_VALUE

    async def _read_small_body(self) -> None:
        body = self.answer.body
        if body is not None and not isinstance(body, BytesBody):
            while piece := await body.read():
                self.received += piece
            self.answer.body = BytesBody(bytes(self.received))
        # The body released the connection when it ended.
        await self.finish()

    def mark_not_run(self) -> None:
        """Record that the request did not run: nothing was sent, or the upstream reported it."""
        if self.sent:
            self.sent = False
            self.exchange.unproven_attempts -= 1
