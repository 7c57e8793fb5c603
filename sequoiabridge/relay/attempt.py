"""One attempt to run a call at an upstream: connect, send, buffer the answer, classify it."""

from __future__ import annotations

import curio

from ..balancing.call import CallAttempt, Ending
from ..balancing.cost_model import CostEstimate
from ..balancing.exclusion import Exclusion
from ..balancing.paths import PathTable
from ..balancing.send_policy import SendPolicy
from ..balancing.upstream_stats import OpenCall
from ..exceptions import CallerGone, NoFreeConnection, Refusal, SendWithheld, UpstreamFailed
from ..logs import get_log
from ..pipeline.exchange import Answer, Body, BytesBody
from ..timers import Clock
from ..tracebacks import drop_traceback
from ..upstreams.base import Connector, UpstreamConnection, UpstreamRequest
from .bodies import PrefixedBody, drain
from .call import RelayedCall
from .dialect import Dialect
from .metadata import AnswerMetadata
from .notices import Notices
from .sharing import Sharing

log = get_log("attempt")

MAX_BUFFERED_ANSWER = 256 * 1024
"""Maximum number of bytes of an answer that are buffered. A buffered answer that breaks off can be
replaced by a retry; a longer one is streamed to the caller. Known answers have 30 KB at most."""

MAX_REFUSAL_BODY = 4096
"""Maximum number of bytes of a refusal's body that are read."""

REFUSAL_BODY_TIMEOUT = 0.02
"""Seconds to wait for the rest of a refusal's body."""

MAX_TRUSTED_IDLE = 0.25
"""Maximum number of seconds since a connection last received data for it to carry a non-idempotent
call, or any call while the upstream leaves a probe unanswered; an older connection may be dead. A
probe has mostly been answered on it some milliseconds ago."""

MIN_CONNECT_TIMEOUT = 0.05
"""Minimum timeout for opening a connection, in seconds, even if the deadline is closer. A round
trip between data centres takes a few milliseconds, a lost packet is sent again after 0.2 s."""


class Attempt(CallAttempt):
    """One attempt; `run` records a failure of the upstream in `ending` instead of raising it.

    Attributes:
        answer: The upstream's answer if it is usable, else None.
        metadata: Metadata from the headers of the answer, None until they have arrived.
    """

    __slots__ = (
        "call",
        "connector",
        "dialect",
        "clock",
        "sharing",
        "notices",
        "policy",
        "paths",
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
        notices: Notices,
        policy: SendPolicy,
        paths: PathTable,
    ):
        super().__init__(estimate, clock.now())
        self.paths = paths
        self.call = call
        self.connector = connector
        self.dialect = dialect
        self.clock = clock
        self.sharing = sharing
        self.notices = notices
        self.policy = policy
        self.open_call = OpenCall(self.started, estimate.expected_duration)
        self.connection: UpstreamConnection | None = None
        self.answer: Answer | None = None
        self.metadata: AnswerMetadata | None = None

    @property
    def seconds(self) -> float:
        """Return the duration of the attempt so far, in seconds."""
        return (self.ended_at if self.ending else self.clock.now()) - self.started

    async def run(self) -> None:
        """Send the call, wait for the answer and set `ending`."""
        self.upstream.stats.add_open_call(self.open_call)
        self.sharing.record_send(self.upstream)
        try:
            answer = await self._exchange()
            await self._classify(answer)
        except SendWithheld as error:
            self._set_ending(Ending.WITHHELD, str(error))
        except NoFreeConnection as error:
            self.lacked_connection = True
            self.policy.count(Exclusion.NO_CONNECTION, self.upstream)
            await self._failed(error)
        except UpstreamFailed as error:
            self.connection_failed = self.metadata is None
            await self._failed(error)
        except (Refusal, CallerGone) as error:
            drop_traceback(error)
            self.error = error
            await self._failed(UpstreamFailed(str(error), sent=self.sent))
        except curio.CancelledError:
            if self.upstream.has_restarted:
                self._set_ending(Ending.RESTARTED, "the upstream has started again")
            else:
                self._set_ending(Ending.CANCELLED, "cancelled by the daemon")
                self.upstream.stats.abandoned_calls += self.sent
            raise
        finally:
            self.upstream.stats.remove_open_call(self.open_call)
            await self._release_connection()

    async def _exchange(self) -> Answer:
        """Send the call and return its answer, buffered up to `MAX_BUFFERED_ANSWER`."""
        self.connection = await self._connect()
        self.via = self.connection.via
        request = self._build_request()
        await self.policy.check_request(self.call, self.upstream)
        self.policy.check_send(self.upstream, self.estimate.permit_at)
        # From here on, only the upstream can prove that the request did not run.
        self.sent = True
        self.sent_at = self.clock.now()
        self.notices.record_send(self.upstream, self.call.id, self.started)
        await self.connection.send(request)
        answer = await self.connection.read_head()
        self.metadata = self.dialect.answer_metadata(answer)
        if self.metadata.other_upstream:
            self.upstream.stats.record_settled(self.sent_at)
        else:
            self.upstream.stats.record_answered(self.sent_at)
        self.paths.record_answer(self.upstream.address, not self.via, self.sent_at)
        self.load = self.metadata.load
        self.notices.record_answer(self.upstream, self.metadata, self.sent_at)
        if answer.body is not None and self.metadata.proves_not_run:
            await discard_body(answer.body)
        elif answer.body is not None:
            await buffer_answer(answer)
        return answer

    async def _connect(self) -> UpstreamConnection:
        address = self.upstream.address
        timeout = max(MIN_CONNECT_TIMEOUT, self.call.deadline - self.clock.now())
        connection = await self.connector.acquire(address, fresh=False, timeout=timeout)
        now = self.clock.now()
        is_trusted = now - connection.last_received_at <= MAX_TRUSTED_IDLE
        may_be_dead = self.upstream.stats.is_unresponsive(now) or not self.call.route.idempotent
        if is_trusted or not may_be_dead:
            return connection
        await self.connector.release(connection)
        return await self.connector.acquire(address, fresh=True, timeout=timeout)

    def _build_request(self) -> UpstreamRequest:
        request = self.call.request
        time_left = self.call.deadline - self.clock.now()
        if time_left <= 0.0:
            raise UpstreamFailed("The deadline passed before anything was sent.", sent=False)
        headers = self.dialect.upstream_headers(request, self.upstream.id, time_left)
        body = request.body.open() if request.body is not None else None
        return UpstreamRequest(
            request.method, request.target, headers, request.length, body, self._is_answer
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

    @property
    def may_be_read_later(self) -> bool:
        """Return whether the upstream may still read the call although the attempt has ended.

        A stopped upstream reads it when it continues, even if its connection was closed or reset.
        """
        if not self.sent or self.metadata is not None or self.upstream.has_restarted:
            return False
        return self.upstream.stats.settled_until < self.sent_at

    async def _release_connection(self) -> None:
        """Release the connection, which closes it unless the answer is complete.

        A streamed answer releases its connection itself when it ends.
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
        """Return the fields of the decision log for the attempt."""
        row = {
            "upstream": self.upstream.id,
            "ending": self.ending.value if self.ending else "open",
            "ms": round(self.seconds * 1000, 1),
            "expected_ms": round(self.estimate.expected_duration * 1000),
        }
        if self.sent:
            row["sent_ms"] = round((self.sent_at - self.started) * 1000, 1)
        if self.via:
            row["via"] = self.via
        if self.answer is not None:
            row["status"] = self.answer.status
        if self.why:
            row["why"] = self.why
        return row


async def buffer_answer(answer: Answer) -> None:
    """Read an answer's body into memory, up to `MAX_BUFFERED_ANSWER`; the rest is streamed.

    Raises:
        UpstreamFailed: The body was cut short.
    """
    buffered = bytearray()
    while len(buffered) <= MAX_BUFFERED_ANSWER:
        chunk = await answer.body.read()
        if not chunk:
            answer.body = BytesBody(bytes(buffered))
            answer.length = len(buffered)
            return
        buffered += chunk
    answer.body = PrefixedBody(bytes(buffered), answer.body)


async def discard_body(body: Body) -> None:
    """Read a refusal's body, so that its connection can be used again, or close it if it is long.

    The head has said all that counts, so the call does not wait for more than that.
    """
    try:
        async with curio.ignore_after(REFUSAL_BODY_TIMEOUT):
            await drain(body, MAX_REFUSAL_BODY)
    except UpstreamFailed as error:
        log.debug("The body of a refusal broke off: %s", error)
    await body.close()
