"""The HTTP server for callers: accepts connections, enforces limits and stops gracefully."""

import select
import socket
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable

import curio
from curio.traps import _io_release, _read_wait

from ..component import Component
from ..exceptions import ConfigurationError
from ..logs import get_log
from ..pipeline.exchange import Answer, Request
from ..supervision import Supervisor
from ..timers import Clock
from ..tracebacks import drop_traceback
from .connection import CallerConnection, encode_unread_answer
from .limits import CallerLimits
from .memory import MemoryBudget
from .refusals import RefusalWriter, refusal_answer, too_many_connections
from .transport import Phase

log = get_log("callers")

NO_LIMIT = float("inf")
BACKLOG = 1024
"""Backlog of the listening socket, in connections."""
SWEEP_INTERVAL = 0.1
"""Seconds between two checks of all connections."""
MAX_REJECTED_SOCKETS = 64
REJECTED_SHARE = 1 / 16
"""Maximum number of rejected sockets kept open until the next sweep, so that callers can read the
answer: a number, and a share of the open connections."""
ROOM_SHARE = 1 / 16
"""Share of the connections that are closed at once to make room."""
ROOM_INTERVAL = 0.01
"""Minimum seconds between two searches for such connections after one that found none."""
ACCEPT_RETRY_SECONDS = 0.05
"""Seconds before the next attempt after accepting a connection failed."""
DISCONNECTED_EVENTS = select.POLLERR | select.POLLHUP
HALF_CLOSED_EVENT = select.POLLRDHUP


class Handler(ABC):
    """Answers callers' requests."""

    @abstractmethod
    async def answer(self, request: Request) -> Answer:
        """Return the answer to `request`, or raise `Refusal`.

        It is cancelled when the caller disconnects. The request's body is not read after it
        returns.
        """

    @abstractmethod
    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        """Called once for each answer returned by `answer`, after it was sent or sending failed.

        `clean` is true if the whole answer was sent. The answer's body has been closed by then.
        Not called if `answer` raised an exception.
        """


class CallerServer(Component):
    """Serves callers on one address.

    Args:
        handler: Makes the answers; see `Handler`.
        limits: Limits on callers.
        clock: Source of time.
        new_request_id: Returns a new request id, for refusals without one.
        write_refusal: Makes the answers for refusals.
        cancel_on_half_close: Treat a caller that closes its sending side as disconnected, for
            callers that never half-close and do not support interim answers. Otherwise an interim
            answer is sent to check the connection.
        sweep_interval: Seconds between two checks of all connections.
        memory: Bounds what is held for all callers; no bound if None.

    Attributes:
        address: The bound "IP:port", after `bind`.
        in_flight: Number of requests whose answer is not complete.
        closed_waiting_count: Number of waiting connections that were closed to make room.
        closing_count: Number of these that are still open.
        stopping: True once a planned stop has begun; answers then carry Connection: close.
    """

    name = "callers"

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        clock: Clock,
        new_request_id: Callable[[], str],
        write_refusal: RefusalWriter = refusal_answer,
        cancel_on_half_close: bool = False,
        sweep_interval: float = SWEEP_INTERVAL,
        memory: MemoryBudget | None = None,
    ):
        self.memory = memory or MemoryBudget(NO_LIMIT, clock)
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.new_request_id = new_request_id
        self.write_refusal = write_refusal
        self.cancel_on_half_close = cancel_on_half_close
        self.sweep_interval = sweep_interval
        self.address = ""
        self.listener: socket.socket | None = None
        self.open_connections: set[CallerConnection] = set()
        self.rejected_sockets: deque[socket.socket] = deque()
        self.in_flight = 0
        self.accepted_count = 0
        self.closed_waiting_count = 0
        self.closing_count = 0
        self.next_room_search = 0.0
        self.rejected_count = 0
        self.stopping = False
        self.listener_closed = False
        self.acceptor: curio.Task | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self.open_connections)

    def bind(self, address: str) -> None:
        """Listen on `address` ("IP:port"; port 0 picks a free one).

        Raises:
            ConfigurationError: Binding to the address failed.
        """
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host.strip("[]"), int(port)))
            listener.listen(BACKLOG)
        except (OSError, ValueError) as error:
            listener.close()
            message = (
                f"Cannot listen on {address}: {error}. Set [callers] address to a free IP:port."
            )
            raise ConfigurationError(message) from error
        listener.setblocking(False)
        self.listener = listener
        self.address = f"{host}:{listener.getsockname()[1]}"

    async def serve(self) -> None:
        """Accept and serve callers until cancelled. Call `bind` first."""
        acceptors = Supervisor(self.clock)
        self.acceptor = await acceptors.start(f"acceptor of {self.address}", self._accept)
        log.info("Listening on %s.", self.address)
        try:
            while True:
                await curio.sleep(self.sweep_interval)
                await self._sweep_safely()
        finally:
            await acceptors.cancel()
            for connection in list(self.open_connections):
                await connection.transport.task.cancel()

    async def _sweep_safely(self) -> None:
        """Sweep; log an error, since the end of this task would end all connections."""
        try:
            await self.sweep()
        except Exception:
            log.exception("Cannot check the open connections; the next check follows.")

    def announce_stop(self) -> None:
        """Begin a planned stop: keep serving, with `Connection: close` in each answer."""
        self.stopping = True

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections may still send a request.

        Connections in the backlog of the listening socket are still served. Answers carry
        `Connection: close` from now on.
        """
        if self.listener_closed:
            return
        self.listener_closed = self.stopping = True
        await self.acceptor.cancel()
        while await self._accept_one():
            pass
        self.listener.close()
        log.info("Stopped accepting connections; %d requests are in flight.", self.in_flight)

    def close_idle(self) -> None:
        """Close all connections on which no request has arrived; requests in flight go on."""
        for connection in self.open_connections:
            connection.transport.close_if_idle()

    def enlarge_send_buffers(self) -> None:
        """Let the system take over answers that wait for their callers; it sends them by itself."""
        for connection in self.open_connections:
            connection.transport.enlarge_send_buffer()

    async def end_connections(self) -> None:
        """End all connections, also those with requests in flight."""
        tasks = [connection.transport.task for connection in self.open_connections]
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    async def wait_idle(self) -> None:
        """Wait without a timeout until all connections are closed."""
        while self.open_connections:
            await curio.sleep(SWEEP_INTERVAL)

    async def sweep(self) -> None:
        """Expire overdue waits and cancel handlers whose caller has disconnected."""
        now = self.clock.now()
        by_fileno: dict[int, CallerConnection] = {}
        for connection in list(self.open_connections):
            if connection.transport.phase is Phase.HANDLER:
                by_fileno[connection.transport.sock.fileno()] = connection
            else:
                connection.transport.expire_wait(now)
        while self.rejected_sockets:
            self.rejected_sockets.popleft().close()
        if by_fileno:
            await self._check_disconnects(by_fileno)

    def dump(self) -> dict:
        """Return the server's part of the state dump."""
        phases = Counter(connection.transport.phase.value for connection in self.open_connections)
        return {
            "address": self.address,
            "stopping": self.stopping,
            "connections": self.connections,
            "in_flight": self.in_flight,
            "accepted": self.accepted_count,
            "turned_away": self.rejected_count,
            "closed_waiting": self.closed_waiting_count,
            "phases": dict(phases),
            "memory": self.memory.dump(),
            "limits": {name: getattr(self.limits, name) for name in self.limits.__slots__},
        }

    async def _check_disconnects(self, by_fileno: dict[int, CallerConnection]) -> None:
        poll = select.poll()
        for fileno in by_fileno:
            poll.register(fileno, HALF_CLOSED_EVENT)
        for fileno, events in poll.poll(0):
            connection = by_fileno[fileno]
            if events & DISCONNECTED_EVENTS:
                log.debug("Caller disconnected; its request is cancelled.")
                await connection.transport.task.cancel(blocking=False)
            elif events & HALF_CLOSED_EVENT and self.cancel_on_half_close:
                await connection.transport.task.cancel(blocking=False)
            elif events & HALF_CLOSED_EVENT:
                connection.transport.send_interim_answer()

    async def _accept(self) -> None:
        try:
            while True:
                await _read_wait(self.listener)
                while await self._accept_one():
                    pass
        finally:
            await _io_release(self.listener)

    async def _accept_one(self) -> bool:
        """Accept one connection; return False if none is pending or accepting failed."""
        try:
            sock, peer = self.listener.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("Cannot accept a connection: %s. Raise the limit of open files.", error)
            await curio.sleep(ACCEPT_RETRY_SECONDS)
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_count += 1
        if not await self._has_room():
            self._reject_connection(sock)
            return True
        connection = CallerConnection(self, sock, f"{peer[0]}:{peer[1]}")
        self.open_connections.add(connection)
        connection.transport.task = await curio.spawn(self._run(connection), daemon=True)
        return True

    async def _run(self, connection: CallerConnection) -> None:
        try:
            await connection.run()
        except curio.CancelledError as error:
            drop_traceback(error)
            raise
        finally:
            self.open_connections.discard(connection)
            self.closing_count -= connection.transport.makes_room

    async def _has_room(self) -> bool:
        """Return whether another connection may be opened, also once others have been closed.

        Of the connections that wait for a request, those in the middle of a head are closed first,
        then those that are idle, the longest waiting first.
        """
        limit = self.limits.allowed_connections
        if self.connections - self.closing_count < limit:
            return True
        # Connections that were just accepted, or are being closed, get to run before the search.
        async with curio.disable_cancellation():
            await curio.sleep(0)
        count, now = max(1, int(limit * ROOM_SHARE)), self.clock.now()
        if self.closing_count >= count or now < self.next_room_search:
            return False
        waiting = [c.transport for c in self.open_connections if c.transport.may_make_room]
        if not waiting:
            self.next_room_search = now + ROOM_INTERVAL
            return False
        waiting.sort(key=lambda t: (t.phase is Phase.IDLE, -t.holding.stalled_seconds()))
        closed = [transport for transport in waiting[:count] if transport.make_room()]
        if not closed:
            return False
        self.closing_count += len(closed)
        self.closed_waiting_count += len(closed)
        log.info("Closed %d waiting connections, since %d are open.", len(closed), limit)
        return True

    def _reject_connection(self, sock: socket.socket) -> None:
        """Send a refusal on a connection beyond the limit; the next sweep closes the socket."""
        self.rejected_count += 1
        answer = self.write_refusal(too_many_connections(), self.new_request_id())
        try:
            sock.send(encode_unread_answer(answer))
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            log.debug("Cannot send a refusal to a caller: %s.", error)
        log.info("Refused a connection, since %d are open.", self.connections)
        self.rejected_sockets.append(sock)
        share = int(self.limits.allowed_connections * REJECTED_SHARE)
        if len(self.rejected_sockets) > min(MAX_REJECTED_SOCKETS, share):
            self.rejected_sockets.popleft().close()
