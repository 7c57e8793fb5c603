"""One caller's socket and what came from it: what is waited for, until when, is it still there.

No timeout object is made and no task is switched to for a call. Each wait sets `deadline` instead,
and the server's sweep calls `check` now and then; see docs/design/hop-latency.md.
"""

import socket
from enum import Enum

import curio
from curio.traps import _io_release, _read_wait, _write_wait

from ..codec import READ_SIZE, InputBuffer
from ..exceptions import CallerGone
from ..logs import get_log
from ..selector import Descriptor
from ..timers import Clock
from .limits import CallerLimits

log = get_log("callers")

NEVER = float("inf")
MAX_DRAIN_BYTES = 256 * 1024
"""Bytes of an unwanted rest that are read and dropped, so that the caller sees its answer."""
DRAIN_TIMEOUT = 2.0
"""Seconds that this may take."""
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER on with 0 seconds: closing resets the connection."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
"""Interim answers; the second is sent only to find out whether a caller is still there."""


class Phase(Enum):
    """What a caller's connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLER = "handler"
    ANSWER = "answer"
    CLOSING = "closing"


class CallerTransport:
    """A caller's connection below the level of requests.

    Attributes:
        phase: What is waited for.
        deadline: Time at which that wait is over, in seconds on the daemon's clock.
        expired: True once a wait was over.
        task: The task that serves the connection.
        received: What came and has not been read yet.
        probeable: True while an interim answer may be sent to see if the caller is there.
    """

    __slots__ = (
        "sock",
        "descriptor",
        "limits",
        "clock",
        "received",
        "task",
        "phase",
        "deadline",
        "expired",
        "may_send_interim",
    )

    def __init__(self, sock: socket.socket, limits: CallerLimits, clock: Clock):
        self.sock = sock
        self.descriptor = Descriptor(sock.fileno())
        self.limits = limits
        self.clock = clock
        self.received = InputBuffer()
        self.task: curio.Task | None = None
        self.phase = Phase.IDLE
        self.deadline = clock.now() + limits.idle_timeout
        self.expired = False
        self.may_send_interim = False

    async def receive(self, phase: Phase, timeout: float) -> bool:
        """Take what the caller sends next; False at its end or when the wait was over.

        Raises:
            CallerGone: The connection is broken.
        """
        self.phase = phase
        self.deadline = self.clock.now() + timeout
        while True:
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                await _read_wait(self.descriptor)
                continue
            except OSError as error:
                raise CallerGone(f"Its connection broke: {error}.") from error
            self.enter_handler_phase()
            self.received.feed(data)
            return bool(data)

    def enter_handler_phase(self) -> None:
        """Nothing is expected from the caller now; the handler is at work."""
        self.phase = Phase.HANDLER
        self.deadline = NEVER

    async def send(self, data: bytes) -> None:
        """Send all of `data`.

        Raises:
            CallerGone: The connection is broken, or the caller took nothing for too long.
        """
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise CallerGone(f"Its connection broke: {error}.") from error
        if sent < len(data):
            await self._send_rest(memoryview(data)[sent:])

    async def drain(self) -> None:
        """End the sending side, then read and drop a bounded rest of what the caller sends."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise CallerGone(f"Its connection broke: {error}.") from error
        end = self.clock.now() + DRAIN_TIMEOUT
        size = 0
        while size < MAX_DRAIN_BYTES and not self.expired:
            if not await self.receive(Phase.CLOSING, end - self.clock.now()):
                return
            size += len(self.received)
            self.received = InputBuffer()

    def abort_on_close(self) -> None:
        """Make the close a reset, for an answer whose end is shown by nothing but the close."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async def close(self) -> None:
        """Close the socket; only the task that serves the connection may do so."""
        await _io_release(self.descriptor)
        self.sock.close()

    def expire_wait(self, now: float) -> None:
        """End a wait that is over; called by the sweep."""
        if now < self.deadline:
            return
        self.expired = True
        self.deadline = NEVER
        answerable = self.phase in (Phase.HEAD, Phase.BODY)
        try:
            self.sock.shutdown(socket.SHUT_RD if answerable else socket.SHUT_RDWR)
        except OSError as error:
            log.debug("A connection was closed already: %s.", error)

    def send_interim_answer(self) -> None:
        """Find out whether a caller that has ended its sending side still waits for its answer.

        The end of its stream proves nothing: it may have closed that side only. If it has gone,
        its system answers an interim answer with a reset, which the next sweep sees.
        """
        if not self.may_send_interim:
            return
        self.may_send_interim = False
        try:
            self.sock.send(PROCESSING)
        except OSError as error:
            log.debug("A caller cannot be reached: %s.", error)

    async def _send_rest(self, rest: memoryview) -> None:
        while rest:
            self.phase = Phase.ANSWER
            self.deadline = self.clock.now() + self.limits.body_timeout
            await _write_wait(self.descriptor)
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                continue
            except OSError as error:
                raise CallerGone(f"Its connection broke: {error}.") from error
        self.enter_handler_phase()
