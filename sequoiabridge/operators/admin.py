"""HTTP server of the admin port, for operators, metrics and the load balancer's health check.

When the connection limit is reached, the server closes the oldest connection without a request in
progress, so that idle clients cannot block the health check.
"""

from __future__ import annotations

from socket import AF_INET, AF_INET6, SHUT_RDWR, SHUT_WR
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import h11
from curio import network

from ..callers.memory import Holder, Holding, MemoryBudget
from ..component import Component
from ..config.units import join_address, split_address
from ..exceptions import Refusal
from ..logs import get_log
from ..timers import SystemClock
from ..tracebacks import drop_traceback
from .errors import RequestRejected
from .messages import AdminAnswer, AdminHandler, AdminRequest
from .reply import error_answer

log = get_log("admin")

READ_BYTES = 65536
"""Maximum number of bytes per read from a socket."""

ACCEPT_RETRY_SECONDS = 0.1
"""Seconds before accepting is retried after an error, such as a lack of file descriptors."""

RESERVED_STEP = 64 * 1024
"""Number of bytes for which memory is reserved at a time if a body's length is not known."""

LINGER_SECONDS = 1.0
"""Maximum time for which data of a rejected client is read before the connection is closed."""


class AdminLimits:
    """Limits of the admin port; sizes in bytes, times in seconds."""

    __slots__ = ("max_head", "max_body", "idle_timeout", "body_timeout", "max_connections")

    def __init__(
        self,
        max_head: int = 16_384,
        max_body: int = 4_000_000,
        idle_timeout: float = 30.0,
        body_timeout: float = 30.0,
        max_connections: int = 64,
    ):
        self.max_head = max_head
        self.max_body = max_body
        self.idle_timeout = idle_timeout
        self.body_timeout = body_timeout
        self.max_connections = max_connections


class AdminConnection(Holder):
    """A connection of a client, with its requests in sequence.

    Attributes:
        busy: Whether a request has come whole and is not answered yet.
        holding: The memory that is held for the client.
    """

    __slots__ = ("sock", "handler", "limits", "h11", "busy", "head_only", "holding")

    def __init__(
        self,
        sock: curio.io.Socket,
        handler: AdminHandler,
        limits: AdminLimits,
        memory: MemoryBudget,
    ):
        self.holding = Holding(memory, self)
        self.sock = sock
        self.handler = handler
        self.limits = limits
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head)
        self.busy = False
        self.head_only = False

    async def serve(self) -> None:
        """Answer requests until the client disconnects or a protocol error occurs."""
        while True:
            self.busy = False
            try:
                if not await self._serve_request():
                    return
            except RequestRejected as error:
                await self._reject(error)
                return
            except h11.RemoteProtocolError as error:
                await self._reject(
                    RequestRejected(error.error_status_hint, "bad-request", f"{error}.")
                )
                return

    async def _serve_request(self) -> bool:
        async with curio.timeout_after(self.limits.idle_timeout):
            head = await self._next_event()
        if type(head) is not h11.Request:
            return False
        self._check_head(head)
        self.head_only = head.method == b"HEAD"
        async with curio.timeout_after(self.limits.body_timeout):
            body = await self._read_body(head)
        self.busy = True
        answer = await self.handler.handle(admin_request(head, body))
        self.holding.release()
        await self._send(answer)
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        return True

    async def _read_body(self, head: h11.Request) -> bytes:
        length = next((v for n, v in head.headers if n == b"content-length"), b"0")
        self._check_size(int(length))
        reserved = int(length)
        self._reserve(reserved)
        if self.h11.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.sock.sendall(self.h11.send(interim))
        body = bytearray()
        while type(event := await self._next_event()) is h11.Data:
            body += event.data
            self._check_size(len(body))
            if len(body) > reserved:
                self._reserve(RESERVED_STEP)
                reserved += RESERVED_STEP
        return bytes(body)

    def evict(self) -> None:
        """Break the connection off, since others need its memory."""
        try:
            self.sock._socket.shutdown(SHUT_RDWR)
        except OSError as error:
            log.debug("A connection was already closed: %s.", error)

    def _reserve(self, size: int) -> None:
        try:
            self.holding.reserve(size)
        except Refusal as refusal:
            raise RequestRejected(refusal.status, refusal.reason.value, str(refusal)) from None

    def _check_head(self, head: h11.Request) -> None:
        # h11 limits the head only if it arrives in several reads.
        size = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
        if size > self.limits.max_head:
            message = f"The request head exceeds {self.limits.max_head} bytes; shorten its headers."
            raise RequestRejected(431, "too-large", message)

    def _check_size(self, size: int) -> None:
        if size <= self.limits.max_body:
            return
        message = f"The request body exceeds {self.limits.max_body} bytes; send a smaller one."
        raise RequestRejected(413, "too-large", message)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            self.holding.begin_wait()
            data = await self.sock.recv(READ_BYTES)
            self.holding.end_wait(len(data))
            self.h11.receive_data(data)
        return event

    async def _send(self, answer: AdminAnswer, close: bool = False) -> None:
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
            ("cache-control", "no-store"),
            *answer.headers,
        ]
        if close:
            headers.append(("connection", "close"))
        data = self.h11.send(h11.Response(status_code=answer.status, headers=headers))
        if not self.head_only:
            data += self.h11.send(h11.Data(data=answer.body))
        data += self.h11.send(h11.EndOfMessage())
        async with curio.timeout_after(self.limits.body_timeout):
            await self.sock.sendall(data)

    async def _reject(self, error: RequestRejected) -> None:
        await self._send(error_answer(error), close=True)
        # Closing a socket with unread data resets the connection, and the answer could be lost.
        await self.sock.shutdown(SHUT_WR)
        async with curio.ignore_after(LINGER_SECONDS):
            while await self.sock.recv(READ_BYTES):
                pass


class AdminServer(Component):
    """Serves the admin port.

    Args:
        address: `IP:port` to bind; port 0 selects a free port.
        memory: Bounds what is held for all clients; no bound if None.
    """

    name = "admin"

    def __init__(
        self,
        address: str,
        handler: AdminHandler,
        limits: AdminLimits | None = None,
        memory: MemoryBudget | None = None,
    ):
        self.memory = memory or MemoryBudget(float("inf"), SystemClock())
        self.address = address
        self.handler = handler
        self.limits = limits or AdminLimits()
        self.sock = None
        self.open_connections: dict[AdminConnection, curio.Task] = {}
        self.accepted = 0
        self.rejected = 0

    async def bind(self) -> None:
        """Bind the address; afterwards `address` has the port."""
        ip, port = split_address(self.address)
        family = AF_INET6 if ":" in ip else AF_INET
        self.sock = network.tcp_server_socket(ip, port, family)
        self.address = join_address(*self.sock.getsockname()[:2])
        log.info("listening on %s", self.address)

    async def run(self) -> None:
        """Accept and serve connections until cancelled; the daemon runs this as one task."""
        if self.sock is None:
            await self.bind()
        try:
            while True:
                await self._accept()
        finally:
            await self.sock.close()
            for task in list(self.open_connections.values()):
                await task.cancel(blocking=False)

    def dump(self) -> dict:
        """Return the state of the port for the state dump."""
        return {
            "address": self.address,
            "connections": len(self.open_connections),
            "connections_limit": self.limits.max_connections,
            "accepted": self.accepted,
            "turned_away": self.rejected,
        }

    async def _accept(self) -> None:
        try:
            client, _ = await self.sock.accept()
        except OSError as error:
            log.warning("could not accept a connection: %s", error)
            await curio.sleep(ACCEPT_RETRY_SECONDS)
            return
        if (
            len(self.open_connections) >= self.limits.max_connections
            and not await self._close_idle_connection()
        ):
            self.rejected += 1
            log.info("Refused a connection, since %d are busy.", len(self.open_connections))
            await client.close()
            return
        self.accepted += 1
        connection = AdminConnection(client, self.handler, self.limits, self.memory)
        self.open_connections[connection] = await curio.spawn(self._serve(connection), daemon=True)

    async def _close_idle_connection(self) -> bool:
        oldest = next(
            (connection for connection in self.open_connections if not connection.busy), None
        )
        if oldest is None:
            return False
        self.rejected += 1
        log.info("Closed a waiting connection, since %d are open.", len(self.open_connections))
        await self.open_connections.pop(oldest).cancel(blocking=False)
        return True

    async def _serve(self, connection: AdminConnection) -> None:
        try:
            async with connection.sock:
                await connection.serve()
        except (curio.TaskTimeout, OSError):
            pass  # The client disconnected or timed out, so it cannot receive an answer.
        except curio.CancelledError as error:
            drop_traceback(error)
            raise
        finally:
            connection.holding.end()
            self.open_connections.pop(connection, None)


def admin_request(head: h11.Request, body: bytes) -> AdminRequest:
    """Return the decoded request of an h11 head and its body."""
    try:
        parts = urlsplit(head.target.decode("ascii"))
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
    except ValueError as error:
        raise RequestRejected(
            400, "bad-request", f"The request target is not a URL: {error}."
        ) from error
    headers = {n.decode("ascii"): v.decode("latin-1") for n, v in head.headers}
    return AdminRequest(head.method.decode("ascii"), unquote(parts.path), query, headers, body)
