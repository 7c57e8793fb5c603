"""A caller's socket with its input buffer, timeouts and disconnect checks.

To keep the overhead per call low, waits use no timers of the event loop: each wait sets `deadline`,
and the server's periodic sweep calls `expire_wait`; see docs/design/hop-latency.md.
"""

import socket
from enum import Enum

import curio
from curio.traps import _io_release, _read_wait, _write_wait

from ..codec import InputBuffer
from ..exceptions import CallerGone, Refusal
from ..logs import get_log
from ..selector import Descriptor
from ..timers import Clock
from ..turns import Turn
from .limits import CallerLimits
from .memory import Holder, Holding, MemoryBudget

log = get_log("callers")

NEVER = float("inf")
MIN_IDLE_SECONDS = 0.5
"""Seconds without a request after which a connection may be closed to make room. One in the middle
of a head may be closed at once, since the caller is told that its request did not run."""
MAX_DRAIN_BYTES = 256 * 1024
"""Maximum number of input bytes discarded before closing, so that the caller gets its answer."""
DRAIN_TIMEOUT = 2.0
"""Maximum seconds spent on discarding them."""
SMALL_READ_BYTES = 16 * 1024
"""Maximum number of bytes read at once where the end of the present message is not known. What
follows it stays in the input buffer until the message has been answered."""
SEND_BUFFER_BYTES = 512 * 1024
"""Size of an enlarged send buffer; systems may allow less."""
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER enabled with a timeout of 0: closing the socket resets the connection."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
"""Interim answer, sent only to check whether a half-closed caller still expects its answer."""


class Phase(Enum):
    """What a connection currently waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLER = "handler"
    ANSWER = "answer"
    CLOSING = "closing"


class CallerTransport(Holder):
    """Sends and receives the bytes of a caller's connection, with timeouts.

    Attributes:
        phase: What the connection currently waits for.
        deadline: Time at which that wait expires, in seconds on the daemon's clock.
        expired: True once a wait has timed out.
        task: The task that serves the connection.
        received: Buffer of received bytes that are not parsed yet.
        may_send_interim: True while an interim answer may be sent to check the connection.
        turn: Lets other tasks run while the caller sends without a pause.
        holding: The memory that is held for the caller.
        evicted: Whether the present wait was ended because others needed what it occupied.
        makes_room: Whether the connection is being closed to make room for another.
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
        "turn",
        "holding",
        "evicted",
        "makes_room",
    )

    def __init__(
        self, sock: socket.socket, limits: CallerLimits, clock: Clock, budget: MemoryBudget
    ):
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
        self.turn = Turn()
        self.holding = Holding(budget, self)
        self.evicted = False
        self.makes_room = False

    @property
    def may_make_room(self) -> bool:
        """Whether the connection waits for a request in a way in which it may be closed."""
        if self.expired or self.holding.wait_began is None:
            return False
        is_idle = self.phase is Phase.IDLE
        return self.phase is Phase.HEAD or (
            is_idle and self.holding.stalled_seconds() >= MIN_IDLE_SECONDS
        )

    async def receive(
        self, phase: Phase, timeout: float, max_bytes: int = SMALL_READ_BYTES
    ) -> bool:
        """Receive into the buffer; return False at the end of the stream or on a timeout.

        Args:
            max_bytes: Maximum number of bytes to receive.

        Raises:
            CallerGone: The connection failed.
        """
        await self.turn.step()
        self.phase = phase
        self.deadline = self.clock.now() + timeout
        while True:
            if self.expired and phase is Phase.IDLE:
                # A request that arrives now stays unread, so its caller knows that it did not run.
                return False
            try:
                data = self.sock.recv(max_bytes)
            except BlockingIOError:
                self.holding.begin_wait()
                await _read_wait(self.descriptor)
                continue
            except OSError as error:
                raise CallerGone(f"The connection failed: {error}.") from error
            self.holding.end_wait(len(data))
            self.enter_handler_phase()
            self.received.feed(data)
            return bool(data)

    def enter_handler_phase(self) -> None:
        """Enter the phase in which the handler runs and no timeout applies to the caller."""
        self.phase = Phase.HANDLER
        self.deadline = NEVER

    async def send(self, data: bytes, end: float = NEVER) -> None:
        """Send all of `data`.

        Args:
            end: Time at which the caller must have received it, in seconds on the daemon's clock.

        Raises:
            CallerGone: The connection failed, or the caller received nothing for `body_timeout`, or
                too little until `end`.
        """
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise CallerGone(f"The connection failed: {error}.") from error
        if sent < len(data):
            await self._send_rest(memoryview(data)[sent:], end)

    async def drain(self) -> None:
        """Close the sending side, then discard a bounded amount of further input."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise CallerGone(f"The connection failed: {error}.") from error
        end = self.clock.now() + DRAIN_TIMEOUT
        size = 0
        while size < MAX_DRAIN_BYTES and not self.expired:
            if not await self.receive(Phase.CLOSING, end - self.clock.now()):
                return
            size += len(self.received)
            self.received = InputBuffer()

    def abort_on_close(self) -> None:
        """Make `close` reset the connection, for a truncated answer delimited by the close."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async def close(self) -> None:
        """Close the socket; only the task that serves the connection may do so."""
        self.holding.end()
        await _io_release(self.descriptor)
        self.sock.close()

    def make_room(self) -> bool:
        """Close the connection unless a request has just come; return whether it was closed."""
        self.expire_wait(NEVER)
        self.makes_room = self.expired
        return self.makes_room

    def evict(self) -> None:
        """End the wait for the caller, since others need what it occupies."""
        self.evicted = True
        self.expire_wait(NEVER)

    def expire_wait(self, now: float) -> None:
        """End the current wait if its deadline has passed; called by the sweep."""
        if now < self.deadline or (self.phase is Phase.IDLE and self._has_input()):
            return
        self.expired = True
        self.deadline = NEVER
        answerable = self.phase in (Phase.HEAD, Phase.BODY)
        try:
            self.sock.shutdown(socket.SHUT_RD if answerable else socket.SHUT_RDWR)
        except OSError as error:
            log.debug("Connection was already closed: %s.", error)

    def close_if_idle(self) -> None:
        """End the wait for another request unless one has arrived."""
        if self.phase is Phase.IDLE:
            self.expire_wait(NEVER)

    def enlarge_send_buffer(self) -> None:
        """Enlarge the system's send buffer if an answer waits for its caller to read."""
        if self.phase is not Phase.ANSWER:
            return
        try:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) >= SEND_BUFFER_BYTES:
                return
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        except OSError as error:
            log.debug("Cannot enlarge the send buffer: %s.", error)

    def send_interim_answer(self) -> None:
        """Check whether a caller that closed its sending side still expects its answer.

        The end of its stream may be a half-close. If the caller has closed the whole connection,
        its system responds to the interim answer with a reset, which the next sweep detects.
        """
        if not self.may_send_interim:
            return
        self.may_send_interim = False
        try:
            self.sock.send(PROCESSING)
        except OSError as error:
            log.debug("Cannot send an interim answer to a caller: %s.", error)

    def _has_input(self) -> bool:
        """Return whether bytes, or the end of the stream, have arrived and are unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as error:
            log.debug("Connection was already closed: %s.", error)
        return True

    async def _send_rest(self, rest: memoryview, end: float) -> None:
        size = len(rest)
        self.holding.restart()
        try:
            self.holding.reserve(size)
        except Refusal as refusal:
            log.info("Broke an answer of %d bytes off that its caller does not take.", size)
            raise CallerGone("There is no memory for an answer that is not taken.") from refusal
        try:
            while rest:
                rest = rest[await self._send_some(rest, end) :]
        finally:
            self.holding.release(size)
        self.enter_handler_phase()

    async def _send_some(self, rest: memoryview, end: float) -> int:
        """Wait until the caller takes bytes; return how many were sent."""
        self.phase = Phase.ANSWER
        self.deadline = min(self.clock.now() + self.limits.body_timeout, end)
        self.holding.begin_wait()
        await _write_wait(self.descriptor)
        try:
            sent = self.sock.send(rest)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise CallerGone(f"The connection failed: {error}.") from error
        self.holding.end_wait(sent)
        return sent
