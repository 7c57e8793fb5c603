"""The caller's side of a trial: one HTTP call over h11 on curio, and what the caller was told."""

import hashlib

import curio
import h11
import msgspec

from ..timers import Clock, SystemClock
from .oracle import Kind, Told

READ_SIZE = 65536


class Call:
    """One sending of one piece of work."""

    __slots__ = ("kind", "method", "path", "host", "nonce", "attempt", "caller", "key", "body")

    def __init__(
        self,
        kind: Kind,
        method: str,
        host: str,
        path: str,
        nonce: str,
        attempt: str,
        caller: str = "",
        key: str = "",
        body: bytes = b"",
    ):
        self.kind = kind
        self.method = method
        self.host = host
        self.path = path
        self.nonce = nonce
        self.attempt = attempt
        self.caller = caller
        self.key = key
        self.body = body

    def headers(self, window: float) -> list[tuple[str, str]]:
        """Return the request's headers."""
        fields = [
            ("Host", self.host),
            ("X-Nonce", self.nonce),
            ("X-Attempt", self.attempt),
            ("Content-Length", str(len(self.body))),
        ]
        if self.caller:
            fields.append(("Sequoia-Caller", self.caller))
        if self.key:
            fields.append(("Idempotency-Key", self.key))
        if window:
            fields.append(("Sequoia-Deadline-Ms", str(round(window * 1000))))
        return fields


class Line:
    """A connection to one entry VM, with its h11 state."""

    __slots__ = ("sock", "state")

    def __init__(self, sock):
        self.sock = sock
        self.state = h11.Connection(h11.CLIENT)

    async def event(self) -> object:
        """Return the next event of h11."""
        while (event := self.state.next_event()) is h11.NEED_DATA:
            self.state.receive_data(await self.sock.recv(READ_SIZE))
        return event

    def usable(self) -> bool:
        """True if the other end has not closed the idle connection."""
        raw = self.sock._socket
        try:
            raw.setblocking(False)
            return raw.recv(1) and False
        except BlockingIOError:
            return True
        except OSError:
            return False


class Caller:
    """Sends calls to entry VMs and keeps clean connections for the next call.

    `transmit` and `answering` are there to be overridden by callers that misbehave.
    """

    def __init__(self, patience: float = 30.0, clock: Clock | None = None):
        self.patience = patience
        self.clock = clock or SystemClock()
        self.idle: dict[str, list[Line]] = {}

    async def call(self, entry: str, call: Call, window: float = 0.0) -> Told:
        """Send `call` to `entry` ("IP:port") and return what was told."""
        told = Told(
            kind=call.kind,
            nonce=call.nonce,
            attempt=call.attempt,
            caller=call.caller,
            key=call.key,
            digest=hashlib.sha256(call.body).hexdigest(),
            began=self.clock.wall(),
            window=window,
        )
        line = None
        try:
            async with curio.timeout_after(self.patience):
                line = await self.line(entry)
                await self.exchange(line, call, told, window)
        except curio.TaskTimeout:
            told.error = "patience"
        except (OSError, h11.ProtocolError) as error:
            told.error = f"{type(error).__name__}: {error}"
        told.ended = self.clock.wall()
        await self.keep(entry, line, told)
        return told

    async def exchange(self, line: Line, call: Call, told: Told, window: float) -> None:
        """Send the request and read the answer into `told`."""
        head = h11.Request(method=call.method, target=call.path, headers=call.headers(window))
        data = line.state.send(head)
        if call.body:
            data += line.state.send(h11.Data(data=call.body))
        await self.transmit(line, data + line.state.send(h11.EndOfMessage()))
        answer = await line.event()
        if not isinstance(answer, h11.Response):
            raise ConnectionError("closed before an answer")
        headers = dict(answer.headers)
        told.status = answer.status_code
        told.outcome = headers.get(b"sequoia-outcome", b"").decode()
        told.reason = headers.get(b"sequoia-reason", b"").decode()
        told.request = headers.get(b"sequoia-request-id", b"").decode()
        await self.answering(told)
        body = bytearray()
        while isinstance(event := await line.event(), h11.Data):
            body += event.data
        told.whole = isinstance(event, h11.EndOfMessage)
        read_echo(told, bytes(body), headers.get(b"x-answer-digest", b"").decode())

    async def transmit(self, line: Line, data: bytes) -> None:
        """Send the bytes of a whole request."""
        await line.sock.sendall(data)

    async def answering(self, told: Told) -> None:
        """The head of an answer has come; its body has not been read yet."""

    async def line(self, entry: str) -> Line:
        """Return an idle connection that is still open, or a new one."""
        idle = self.idle.setdefault(entry, [])
        while idle:
            line = idle.pop()
            if line.usable():
                return line
            await line.sock.close()
        host, _, port = entry.rpartition(":")
        return Line(await curio.open_connection(host, int(port)))

    async def keep(self, entry: str, line: Line | None, told: Told) -> None:
        """Keep a connection after a clean end, close it after anything else."""
        if line is None:
            return
        state = line.state
        if told.whole and not told.error and state.our_state is state.their_state is h11.DONE:
            state.start_next_cycle()
            self.idle[entry].append(line)
            return
        await line.sock.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for lines in self.idle.values():
            for line in lines:
                await line.sock.close()
        self.idle.clear()


def read_echo(told: Told, body: bytes, digest: str) -> None:
    """Fill in what the answer's body says about the request it belongs to."""
    told.answer_intact = bool(digest) and hashlib.sha256(body).hexdigest() == digest
    try:
        echo = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return
    if isinstance(echo, dict):
        told.answer_nonce = str(echo.get("nonce", ""))
        told.answer_digest = str(echo.get("digest", ""))
