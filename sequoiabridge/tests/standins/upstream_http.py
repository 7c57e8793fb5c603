"""The HTTP side of the stand-ins: h11 on curio, one request at a time on a connection."""

import curio
import h11

READ_SIZE = 65536
ENDLESS_PAUSE = 0.05
"""Seconds between two pieces of an answer that never ends."""

SILENCE = 3600.0
"""Seconds for which a connection that has gone silent is held."""

GONE = (ConnectionError, OSError, h11.RemoteProtocolError)


class Incoming:
    """A request with its whole body; `header` looks names up in lower case."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, head: h11.Request, body: bytes):
        self.method = head.method.decode()
        self.target = head.target.decode("latin-1")
        self.headers = {name: value.decode("latin-1") for name, value in head.headers}
        self.body = body

    def header(self, name: bytes) -> str:
        """Return the header's value, or an empty string."""
        return self.headers.get(name, "")


class Wire:
    """One connection of a caller to a stand-in.

    `silent` makes it swallow everything for good, as if a router in between had forgotten it.
    """

    __slots__ = ("sock", "state", "silent")

    def __init__(self, sock):
        self.sock = sock
        self.state = h11.Connection(h11.SERVER)
        self.silent = False

    async def event(self) -> object:
        """Return the next event of h11."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.state.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self.state.send(interim))
            data = await self.sock.recv(READ_SIZE)
            if self.silent and data:
                await curio.sleep(SILENCE)
            self.state.receive_data(data)

    async def request(self) -> Incoming | None:
        """Read the next request whole; None at the end of the connection."""
        head = await self.event()
        if not isinstance(head, h11.Request):
            return None
        pieces = []
        while isinstance(event := await self.event(), h11.Data):
            pieces.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            return None
        return Incoming(head, b"".join(pieces))

    async def answer(self, status: int, headers: list, body: bytes, cut: bool = False) -> bool:
        """Send an answer; `cut` breaks it off half-way. Return True if another may follow."""
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        head = self.state.send(h11.Response(status_code=status, headers=headers))
        if cut:
            await self._write(head + body[: len(body) // 2])
            return False
        data = self.state.send(h11.Data(data=body)) if body else b""
        await self._write(head + data + self.state.send(h11.EndOfMessage()))
        if self.state.our_state is not h11.DONE or self.state.their_state is not h11.DONE:
            return False
        self.state.start_next_cycle()
        return True

    async def answer_without_end(
        self, status: int, headers: list, body: bytes, hangs: bool
    ) -> None:
        """Send an answer that never ends: it repeats `body`, or `hangs` after the first time.

        Raises:
            ConnectionError: The other end has closed the connection.
        """
        fields = [*headers, (b"transfer-encoding", b"chunked")]
        await self._write(self.state.send(h11.Response(status_code=status, headers=fields)))
        while True:
            await self._write(self.state.send(h11.Data(data=body)))
            if hangs:
                await self.closed()
                raise ConnectionError("The other end has closed the connection.")
            await curio.sleep(ENDLESS_PAUSE)

    async def closed(self) -> None:
        """Return once the other end has closed the connection while its request is being run."""
        data = await self.sock.recv(READ_SIZE)
        if data:
            self.state.receive_data(data)
            await curio.sleep(SILENCE)

    async def _write(self, data: bytes) -> None:
        if not self.silent:
            await self.sock.sendall(data)
