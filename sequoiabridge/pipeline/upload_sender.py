"""Delivers accepted uploads to the upstreams of their service."""

from __future__ import annotations

import curio

from .. import headers
from ..exceptions import UpstreamFailed
from ..policy.base import Failure
from ..policy.upstream_state import UpstreamState
from ..store.upload_delivery import DeliveryOutcome, DeliveryResult
from ..store.upload_manifest import Manifest
from ..timers import Clock
from ..upstreams.base import Connector, UpstreamConnection, UpstreamRequest
from ..upstreams.reports import parse_incarnation
from .attempt_recorder import REACHABLE_TIMEOUT, Observer, apply_drain
from .exchange import Answer, Body
from .services import Services, ServiceState
from .uploads import delivery_request, delivery_result

CONNECT_TIMEOUT = 2.0
"""Maximum duration of opening a connection for a delivery, in seconds."""

ANSWER_TIMEOUT = 60.0
"""Seconds that an upstream has to answer, added to the time for sending the body."""

MIN_BYTES_PER_SECOND = 64 * 1024
"""Minimum mean rate at which an upload must be sent."""

HOST = b"host"


class UploadSender:
    """Sends an upload for `store.upload_delivery.UploadDeliverer`, once per attempt."""

    __slots__ = ("services", "connector", "observer", "clock")

    def __init__(self, services: Services, connector: Connector, observer: Observer, clock: Clock):
        self.services = services
        self.connector = connector
        self.observer = observer
        self.clock = clock

    async def send(self, manifest: Manifest, body: Body) -> DeliveryResult:
        """Send one upload to an upstream on a new connection and return the result."""
        state = self.services.by_name.get(manifest.service)
        if state is None:
            return DeliveryResult(
                DeliveryOutcome.RETRY, f"service {manifest.service} is not configured now"
            )
        upstream = state.pool.choose(self.clock.now(), manifest.crashed)
        if upstream is None:
            return DeliveryResult(DeliveryOutcome.RETRY, "no upstream can take it now")
        request = delivery_request(manifest, body)
        request.headers.append((HOST, upstream.address.encode()))
        timeout = CONNECT_TIMEOUT + ANSWER_TIMEOUT + manifest.size / MIN_BYTES_PER_SECOND
        started = self.clock.now()
        state.pool.record_send(upstream, started)
        try:
            async with curio.timeout_after(timeout):
                answer = await self._exchange(upstream, request)
        except curio.TaskTimeout:
            self._record_end(state, upstream, started, Failure.TIMEOUT)
            return DeliveryResult(
                DeliveryOutcome.RETRY, f"{upstream.name} did not answer in {timeout:.0f} s"
            )
        except UpstreamFailed as error:
            self._record_end(state, upstream, started, Failure.RESET)
            return await self._handle_broken_connection(state, manifest, upstream, error)
        except BaseException:
            self._record_end(state, upstream, started, Failure.CANCELLED)
            raise
        # The duration of an upload does not reflect the upstream's load: record no answer.
        self._record_end(state, upstream, started, Failure.CANCELLED)
        self._apply_drain(state, upstream, answer)
        return delivery_result(manifest, answer)

    def _apply_drain(self, state: ServiceState, upstream: UpstreamState, answer: Answer) -> None:
        """Apply a drain that the answer reports; the service may have no other calls."""
        drains = [
            parse_incarnation(value) for name, value in answer.headers if name == headers.DRAIN
        ]
        for incarnation in drains:
            apply_drain(state, self.observer, upstream.name, incarnation, self.clock.now())

    async def _handle_broken_connection(
        self,
        state: ServiceState,
        manifest: Manifest,
        upstream: UpstreamState,
        error: UpstreamFailed,
    ) -> DeliveryResult:
        """Record a crash if the upstream accepts no new connection; return the result."""
        dead = error.sent and not await self.connector.is_reachable(
            upstream.address, REACHABLE_TIMEOUT
        )
        if not dead:
            return DeliveryResult(DeliveryOutcome.RETRY, str(error))
        # The upload and the calls in flight to the upstream share the blame for the crash.
        self.observer.record_upload_crash(state.service.name, manifest.id, upstream.name)
        return DeliveryResult(
            DeliveryOutcome.CRASHED, f"{upstream.name} died while it had it", upstream.name
        )

    async def _exchange(self, upstream: UpstreamState, request: UpstreamRequest) -> Answer:
        connection = await self.connector.acquire(
            upstream.address, fresh=True, timeout=CONNECT_TIMEOUT
        )
        try:
            return await self._send_and_read(connection, request)
        finally:
            await connection.close()
            await self.connector.release(connection)

    async def _send_and_read(
        self, connection: UpstreamConnection, request: UpstreamRequest
    ) -> Answer:
        await connection.send(request)
        answer = await connection.read_head()
        if answer.body is not None:
            while await answer.body.read():
                pass
        return answer

    def _record_end(
        self, state: ServiceState, upstream: UpstreamState, started: float, kind: Failure
    ) -> None:
        now = self.clock.now()
        state.pool.record_failure(upstream, now, kind, now - started)
