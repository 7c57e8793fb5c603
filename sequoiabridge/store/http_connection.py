"""Keep-alive HTTP connections to one of the platform's services, by h11 on curio.

What is known after a failure matters more here than speed: `NOT_SENT` is said only if no byte of
the request left this VM, everything after the first byte is `UNKNOWN`.
"""

import select
import socket
from collections import deque

import curio
import h11
from expression import Error, Ok, Result

from ..config.units import split_address
from ..timers import Clock
from .base import StoreError, StoreErrorKind

STEP = 256 * 1024
"""Bytes of a body that are sent or read in one go; other tasks run in between."""

READ_SIZE = 65536
"""Bytes asked of a socket at a time."""

IDLE_LIMIT = 15.0
"""Seconds after which an idle connection is no longer trusted."""

MAX_IDLE = 8
"""Idle connections kept."""


class Reply:
    """A complete answer of the platform."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body


class PlatformConnection:
    """One connection; it is reused only after a clean end."""

    __slots__ = ("sock", "codec", "idle_since")

    def __init__(self, sock: curio.io.Socket):
        self.sock = sock
        self.codec = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    async def exchange(self, head: h11.Request, body: bytes) -> Reply:
        """Send one request and return its whole answer; raises on anything else."""
        data = self.codec.send(head)
        if len(body) > STEP:
            await self.sock.sendall(data)
            await self._send_in_steps(body)
            data = b""
        elif body:
            data += self.codec.send(h11.Data(data=body))
        data += self.codec.send(h11.EndOfMessage())
        if data:
            await self.sock.sendall(data)
        return await self._receive()

    async def _send_in_steps(self, body: bytes) -> None:
        """Send a large body, which a socket that never waits would take without a pause."""
        view = memoryview(body)
        for start in range(0, len(body), STEP):
            await self.sock.sendall(self.codec.send(h11.Data(data=view[start : start + STEP])))
            await curio.sleep(0)

    async def _receive(self) -> Reply:
        status, parts, unpaused = 0, [], 0
        while True:
            event = self.codec.next_event()
            if event is h11.NEED_DATA:
                self.codec.receive_data(await self.sock.recv(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                unpaused += len(event.data)
                if unpaused >= STEP:
                    unpaused = 0
                    await curio.sleep(0)
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before an answer")

    def renew(self, now: float) -> bool:
        """Make ready for the next request; false if the connection is to be closed."""
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        self.codec.start_next_cycle()
        self.idle_since = now
        return True

    def usable(self, now: float) -> bool:
        """True if young enough, and nothing (no end either) came while it was idle."""
        if now - self.idle_since > IDLE_LIMIT:
            return False
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        return not poller.poll(0)


class PlatformClient:
    """Calls to one address, each with a timeout over all its steps."""

    def __init__(self, address: str, clock: Clock):
        self.address = address
        self.clock = clock
        self.host, self.port = split_address(address)
        self.idle: deque[PlatformConnection] = deque(maxlen=MAX_IDLE)
        self.opened = 0

    async def call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> Result[Reply, StoreError]:
        """Make one request, never sent twice; at most `timeout` seconds."""
        head = h11.Request(
            method=method,
            target=target,
            headers=[("host", self.address), ("content-length", str(len(body)))],
        )
        started = self.clock.now()
        try:
            connection = await curio.timeout_after(timeout, self._connection)
        except (OSError, curio.TaskTimeout) as error:
            return self._error(StoreErrorKind.NOT_SENT, "does not accept connections", error)
        left = max(0.0, timeout - (self.clock.now() - started))
        try:
            reply = await curio.timeout_after(left, connection.exchange, head, body)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            await connection.sock.close()
            return self._error(StoreErrorKind.UNKNOWN, "gave no whole answer", error)
        except BaseException:
            await connection.sock.close()
            raise
        await self._keep(connection)
        return Ok(reply)

    async def _connection(self) -> PlatformConnection:
        while self.idle:
            connection = self.idle.pop()
            if connection.usable(self.clock.now()):
                return connection
            await connection.sock.close()
        sock = await curio.open_connection(self.host, self.port)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.opened += 1
        return PlatformConnection(sock)

    async def _keep(self, connection: PlatformConnection) -> None:
        if connection.renew(self.clock.now()) and len(self.idle) < MAX_IDLE:
            self.idle.append(connection)
            return
        await connection.sock.close()

    def _error(self, kind: StoreErrorKind, what: str, cause: Exception) -> Result:
        text = f"platform at {self.address} {what} ({type(cause).__name__}); see [platform]"
        return Error(StoreError(kind, text))
