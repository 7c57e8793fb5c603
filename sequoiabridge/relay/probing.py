"""Probes upstreams for their load right before a call is sent to one of them."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

import curio

from ..balancing.paths import PathTable
from ..balancing.probe_limiter import ProbeRateLimiter
from ..balancing.send_policy import SendPolicy
from ..balancing.upstream import Upstream
from ..balancing.upstream_stats import PROBE_TIMEOUT
from ..exceptions import NoFreeConnection, UpstreamFailed
from ..pipeline.exchange import Answer
from ..timers import Clock
from ..upstreams.base import Connector, UpstreamConnection, UpstreamRequest
from .bodies import drain
from .configuration import Configuration
from .counters import Counters
from .decisions import DecisionLog
from .dialect import NO_CALL, Dialect
from .notices import Notices
from .sharing import Sharing
from .upstreams import UpstreamList

MAX_HEALTH_BODY = 4096
"""Maximum number of bytes of a health check answer's body that are read."""

HEALTH_HEADERS = [(b"accept", b"*/*")]


class Identity(Enum):
    """Who answers at the address of an upstream."""

    SAME = "same"
    ANOTHER = "another"
    NOBODY = "nobody"
    UNKNOWN = "unknown"
    """No health check could be sent."""


class Prober:
    """Sends health checks to upstreams over pooled connections and records their answers.

    Args:
        configuration: Provides the health check path of each service.
        probe_limiter: Limits the rate of health checks.
        policy: Decides which upstreams may get health checks.
        paths: Is told which upstreams answer.

    Attributes:
        paused: Whether no upstreams are probed before calls.
    """

    def __init__(
        self,
        connector: Connector,
        dialect: Dialect,
        configuration: Configuration,
        upstreams: UpstreamList,
        decisions: DecisionLog,
        sharing: Sharing,
        counters: Counters,
        clock: Clock,
        probe_limiter: ProbeRateLimiter,
        notices: Notices,
        policy: SendPolicy,
        paths: PathTable,
    ):
        self.paths = paths
        self.paused = False
        self.probe_limiter = probe_limiter
        self.connector = connector
        self.dialect = dialect
        self.configuration = configuration
        self.upstreams = upstreams
        self.decisions = decisions
        self.sharing = sharing
        self.counters = counters
        self.clock = clock
        self.notices = notices
        self.policy = policy

    async def probe_all(self, upstreams: Sequence[Upstream], timeout: float) -> None:
        """Probe `upstreams` and return when all probes have ended, or after `timeout` seconds.

        Later answers are still recorded. Only the first upstreams are probed if the limit on health
        checks does not allow more.
        """
        if self.paused:
            return
        upstreams = [upstream for upstream in upstreams if self.policy.may_probe(upstream)]
        now, known = self.clock.now(), self.upstreams.configured_count
        upstreams = upstreams[: self.probe_limiter.take(len(upstreams), known, now)]
        if not upstreams:
            return
        batch = ProbeBatch(len(upstreams))
        for upstream in upstreams:
            await curio.spawn(self._probe_one(upstream, batch), daemon=True)
        async with curio.ignore_after(timeout):
            await batch.done.wait()

    async def _probe_one(self, upstream: Upstream, batch: ProbeBatch) -> None:
        try:
            await self.probe(upstream)
        finally:
            batch.pending -= 1
            if batch.pending <= 0:
                await batch.done.set()

    async def probe(self, upstream: Upstream) -> None:
        """Probe one upstream, unless it rests, and record its answer or the failure."""
        if not self.policy.may_probe(upstream):
            return
        self.counters.probes += 1
        sent_at = self.clock.now()
        upstream.stats.record_probe_sent(sent_at)
        connection = None
        try:
            async with curio.timeout_after(PROBE_TIMEOUT):
                connection = await self.connector.acquire(
                    upstream.address, fresh=False, timeout=PROBE_TIMEOUT
                )
                answer = await self._exchange(connection, upstream)
        except NoFreeConnection:
            upstream.stats.record_probe_not_sent()
        except curio.TaskTimeout:
            self._record_failure(upstream, f"no answer within {PROBE_TIMEOUT} s")
        except UpstreamFailed as error:
            if error.refused:
                upstream.stats.record_settled(sent_at)
            self._record_failure(upstream, str(error))
        else:
            self.paths.record_answer(upstream.address, not connection.via, sent_at)
            self._record_answer(upstream, answer, sent_at)
        finally:
            if connection is not None:
                await self.connector.release(connection)

    async def check_identity(
        self, upstream: Upstream, timeout: float = PROBE_TIMEOUT, is_limited: bool = True
    ) -> Identity:
        """Return who answers a health check on a new connection to an upstream's address.

        Args:
            is_limited: Whether the limit on health checks applies; the few that confirm a crash
                must not depend on it.
        """
        if not self.policy.may_probe(upstream):
            return Identity.UNKNOWN
        now, known = self.clock.now(), self.upstreams.configured_count
        if is_limited and not self.probe_limiter.take(1, known, now):
            return Identity.UNKNOWN
        self.counters.probes += 1
        connection = None
        try:
            async with curio.timeout_after(timeout):
                connection = await self.connector.acquire(
                    upstream.address, fresh=True, timeout=timeout
                )
                answer = await self._exchange(connection, upstream)
        except NoFreeConnection:
            return Identity.UNKNOWN
        except (UpstreamFailed, curio.TaskTimeout):
            return Identity.NOBODY
        finally:
            if connection is not None:
                await self.connector.release(connection)
        self.paths.record_answer(upstream.address, not connection.via, now)
        self._record_answer(upstream, answer, now)
        return Identity.ANOTHER if upstream.replaced else Identity.SAME

    async def _exchange(self, connection: UpstreamConnection, upstream: Upstream) -> Answer:
        path = self.configuration.health_path(upstream.record.service)
        headers = [(b"host", upstream.address.encode()), *HEALTH_HEADERS]
        request = UpstreamRequest(b"GET", path, headers, is_answer=self._is_answer)
        await connection.send(request)
        answer = await connection.read_head()
        if answer.body is not None:
            await drain(answer.body, MAX_HEALTH_BODY)
        return answer

    def _is_answer(self, headers) -> bool:
        return self.dialect.is_answer_to(NO_CALL, headers)

    def _record_failure(self, upstream: Upstream, why: str) -> None:
        stats = upstream.stats
        if not stats.unanswered_probes:
            self.decisions.event("upstream-silent", upstream=upstream.id, why=why)
        stats.record_probe_failure(self.clock.now())
        self.counters.probes_unanswered += 1

    def _record_answer(self, upstream: Upstream, answer: Answer, sent_at: float) -> None:
        metadata = self.dialect.health_metadata(answer)
        if metadata.upstream and metadata.upstream != upstream.id:
            self.upstreams.record_replacement(upstream)
            return
        stats = upstream.stats
        if stats.unanswered_probes:
            self.decisions.event(
                "upstream-answers",
                upstream=upstream.id,
                after=stats.unanswered_probes,
                abandoned_calls=stats.abandoned_calls,
            )
        stats.record_answered(sent_at)
        if metadata.healthy != stats.healthy:
            self.decisions.event("upstream-health", upstream=upstream.id, healthy=metadata.healthy)
        stats.record_probe_answer(metadata.healthy)
        if not metadata.healthy:
            self.upstreams.record_unhealthy(upstream)
        self.notices.record_health_answer(upstream, metadata)
        if metadata.load is not None:
            self.sharing.record_load_report(upstream, metadata.load)


class ProbeBatch:
    """Probes that were started together; `done` is set when none is pending."""

    __slots__ = ("pending", "done")

    def __init__(self, count: int):
        self.pending = count
        self.done = curio.Event()
