"""One attempt at one upstream: connect, send, take in the whole answer, judge it."""

from __future__ import annotations

import curio

from ..balancing.call import CallAttempt, Ending
from ..balancing.cost_model import CostEstimate
from ..balancing.upstream_stats import OpenCall
from ..exceptions import CallerGone, Refusal, UpstreamFailed
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Answer, Body, BytesBody
from ..timers import Clock
from ..upstreams.base import Connector, UpstreamConnection, UpstreamRequest
from .call import RelayedCall
from .dialect import Dialect
from .metadata import AnswerMetadata
from .sharing import Sharing

MAX_BUFFERED_ANSWER = 256 * 1024
"""Bytes of an answer that are taken in before any of it goes to the caller, so that a broken one
can be replaced; the users' answers have 30 KB at most."""

MAX_TRUSTED_IDLE = 0.25
"""Seconds since a connection last spoke up to which a call that may not be repeated is trusted to
it; a probe has mostly spoken on it some milliseconds ago."""

MIN_CONNECT_TIMEOUT = 0.05
"""Seconds that opening a connection may take at least; a round trip between data centres takes a
few milliseconds, a lost packet comes again after 0.2 s."""


class Attempt(CallAttempt):
    """One attempt; `run` never raises for what an upstream did, but sets `ending`.

    Attributes:
        answer: The upstream's answer, if it is to be used.
        signals: What that says beside its content, None before it began.
    """

    __slots__ = (
        "call",
        "connector",
        "dialect",
        "clock",
        "sharing",
        "open_call",
        "connection",
        "answer",
        "metadata",
    )

    def __init__(
        self,
        call: RelayedCall,
        estimate: CostEstimate,
        connector: Connector,
        dialect: Dialect,
        clock: Clock,
        sharing: Sharing,
    ):
        super().__init__(estimate, clock.now())
        self.call = call
        self.connector = connector
        self.dialect = dialect
        self.clock = clock
        self.sharing = sharing
        self.open_call = OpenCall(self.started, estimate.expected_duration)
        self.connection: UpstreamConnection | None = None
        self.answer: Answer | None = None
        self.metadata: AnswerMetadata | None = None

    @property
    def seconds(self) -> float:
        """Return how long it has taken."""
        return (self.ended_at if self.ending else self.clock.now()) - self.started

    async def run(self) -> None:
        """Go through with the attempt and judge what comes of it."""
        self.upstream.stats.add_open_call(self.open_call)
        self.sharing.record_send(self.upstream)
        try:
            answer = await self._exchange()
            await self._classify(answer)
        except UpstreamFailed as error:
            await self._failed(error)
        except (Refusal, CallerGone) as error:
            self.error = error
            await self._failed(UpstreamFailed(str(error), sent=self.sent))
        except curio.CancelledError:
            if self.upstream.has_restarted:
                self._set_ending(Ending.RESTARTED, "the upstream has started again")
            else:
                self._set_ending(Ending.CANCELLED, "given up")
            raise
        finally:
            await self._release_connection()
            self.upstream.stats.remove_open_call(self.open_call)

    async def _exchange(self) -> Answer:
        """Send the call and return the whole answer, or its beginning if it is long."""
        self.connection = await self._connect()
        request = self._build_request()
        # From here on, a byte may leave: only the upstream itself can prove that it did not run.
        self.sent = True
        await self.connection.send(request)
        answer = await self.connection.read_head()
        self.metadata = self.dialect.answer_metadata(answer)
        self.load = self.metadata.load
        if answer.body is not None:
            await buffer_answer(answer)
        return answer

    async def _connect(self) -> UpstreamConnection:
        address = self.upstream.address
        timeout = max(MIN_CONNECT_TIMEOUT, self.call.deadline - self.clock.now())
        connection = await self.connector.acquire(address, fresh=False, timeout=timeout)
        idle = self.clock.now() - connection.last_heard
        if self.call.route.idempotent or idle <= MAX_TRUSTED_IDLE:
            return connection
        await self.connector.release(connection)
        return await self.connector.acquire(address, fresh=True, timeout=timeout)

    def _build_request(self) -> UpstreamRequest:
        request = self.call.request
        if isinstance(request.body, ReplayableBody):
            request.body.rewind()
        time_left = self.call.deadline - self.clock.now()
        if time_left <= 0.0:
            raise UpstreamFailed("The deadline passed before anything was sent.", sent=False)
        headers = self.dialect.upstream_headers(request, self.upstream.id, time_left)
        return UpstreamRequest(
            request.method, request.target, headers, request.length, request.body, self._is_answer
        )

    def _is_answer(self, headers) -> bool:
        return self.dialect.is_answer_to(self.call.metadata.id, headers)

    async def _classify(self, answer: Answer) -> None:
        metadata = self.metadata
        if metadata.other_upstream:
            self.wrong_upstream = True
            self._set_ending(Ending.NOT_RUN, "another upstream has its address")
        elif metadata.not_run:
            self._set_ending(Ending.NOT_RUN, f"refused with {answer.status}")
        elif 200 <= answer.status < 300 and not metadata.genuine:
            self._set_ending(Ending.BROKEN, "a success that is not the upstream's own")
        else:
            self._accept(answer)
            self._set_ending(Ending.ANSWERED, "")
        if self.answer is None and answer.body is not None:
            await answer.body.close()

    def _accept(self, answer: Answer) -> None:
        self.answer = answer
        self.status = answer.status
        self.size = answer.length or 0
        self.is_streamed = not isinstance(answer.body, BytesBody | None)

    async def _failed(self, error: UpstreamFailed) -> None:
        self.sent = self.sent and error.sent
        self._set_ending(Ending.BROKEN if self.sent else Ending.NOT_SENT, str(error))

    async def _release_connection(self) -> None:
        """Give back the connection; one whose answer has not ended is closed by that.

        A long answer that is on its way to the caller gives it back itself.
        """
        connection, self.connection = self.connection, None
        if connection is None or self.is_streamed:
            return
        if self.ending in (Ending.CANCELLED, Ending.RESTARTED):
            await connection.close()
        await self.connector.release(connection)

    def _set_ending(self, ending: Ending, why: str) -> None:
        self.ending = ending
        self.why = why
        self.ended_at = self.clock.now()

    def row(self) -> dict:
        """Return what became of it, for the log."""
        row = {
            "upstream": self.upstream.id,
            "ending": self.ending.value if self.ending else "open",
            "ms": round(self.seconds * 1000, 1),
            "expected_ms": round(self.estimate.expected_duration * 1000),
        }
        if self.answer is not None:
            row["status"] = self.answer.status
        if self.why:
            row["why"] = self.why
        return row


class PrefixedBody(Body):
    """A body of which the first pieces have been taken in already."""

    __slots__ = ("prefix", "rest")

    def __init__(self, prefix: bytes, rest: Body):
        self.prefix = prefix
        self.rest = rest

    async def read(self) -> bytes:
        """Return what was taken in first, then the rest."""
        if self.prefix:
            prefix, self.prefix = self.prefix, b""
            return prefix
        return await self.rest.read()

    def limit(self, size: int) -> None:
        """Take at most `size` bytes of the rest."""
        self.rest.limit(size)

    async def close(self) -> None:
        """Give up the rest."""
        await self.rest.close()


async def buffer_answer(answer: Answer) -> None:
    """Take an answer's body into memory; of a long one, its beginning.

    Raises:
        UpstreamFailed: It was cut short.
    """
    chunks, size = [], 0
    while size <= MAX_BUFFERED_ANSWER:
        chunk = await answer.body.read()
        if not chunk:
            answer.body = BytesBody(b"".join(chunks))
            answer.length = size
            return
        chunks.append(chunk)
        size += len(chunk)
    answer.body = PrefixedBody(b"".join(chunks), answer.body)
