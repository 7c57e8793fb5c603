"""A socket to an upstream that carries many requests, one at a time."""

import select
import socket
import struct
from array import array
from errno import EINPROGRESS
from fcntl import ioctl
from termios import TIOCOUTQ

import curio
import h11
from curio.traps import _io_release, _read_wait, _write_wait

from ..codec import END_OF_MESSAGE, READ_SIZE, BodyReader, InputBuffer, UntilCloseReader
from ..exceptions import UpstreamFailed
from ..logs import get_log
from ..selector import Descriptor
from ..timers import Clock
from ..turns import Turn

log = get_log("upstreams")

SWITCHING_PROTOCOLS = 101

KEEPALIVE_IDLE_SECONDS = 1
"""Idle seconds before the first TCP keep-alive probe."""
KEEPALIVE_INTERVAL_SECONDS = 1
"""Seconds between TCP keep-alive probes."""
KEEPALIVE_MAX_PROBES = 2
"""Number of unanswered TCP keep-alive probes after which the connection fails, where no
TCP_USER_TIMEOUT decides."""
UNACKNOWLEDGED_MS = 3000
"""Milliseconds after which a connection with unacknowledged data fails (TCP_USER_TIMEOUT). Linux
also ends keep-alive probes by it, whatever their number."""


RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger option by which closing a socket resets the connection."""


class Link:
    """A connection to an upstream: its socket, input buffer and the state of its current request.

    Attributes:
        via: VM of the peer through which it was opened, "" for a direct connection.
        opened_at: Time at which it was opened, in seconds on the daemon's clock.
        last_received_at: Time of the last byte from the upstream, on the same clock.
        requests: Number of requests sent on it.
        sent: Whether any byte of the current request may have been sent.
        early_response: Head of an answer received before the request's body was sent, or None.
        received: Buffer of received bytes that have not been parsed.
        head_bytes: Size in bytes of the heads of the current answer, with those of interim ones.
        turn: Lets other tasks run while the upstream sends without a pause.
        request_ended: Whether the complete request was sent.
        answer_ended: Whether the complete answer was read.
        keeps_alive: Whether the upstream accepts another request after this one.
        keep_alive_timeout: Seconds until the upstream may close an idle connection, or infinity.
        is_out_of_sync: Whether an answer to an earlier request was received; prevents reuse.
        refused: Whether the upstream refused the request before it was sent completely.
        waiting: Whether a task waits on the socket; `close` then only wakes it.
        send_epoll: Signals that the socket is readable or writable; created when first needed.
    """

    __slots__ = (
        "address",
        "sock",
        "descriptor",
        "received",
        "head_bytes",
        "turn",
        "clock",
        "via",
        "opened_at",
        "last_received_at",
        "requests",
        "sent",
        "early_response",
        "refused",
        "request_ended",
        "answer_ended",
        "keeps_alive",
        "keep_alive_timeout",
        "is_out_of_sync",
        "waiting",
        "closed",
        "send_epoll",
    )

    def __init__(self, address: str, sock: socket.socket, clock: Clock):
        self.address = address
        self.sock = sock
        self.descriptor = Descriptor(sock.fileno())
        self.clock = clock
        self.via = ""
        self.opened_at = clock.now()
        self.last_received_at = self.opened_at
        self.requests = 0
        self.early_response: h11.Response | None = None
        self.received = InputBuffer()
        self.turn = Turn()
        self._reset_request_state()
        self.keep_alive_timeout = float("inf")
        self.is_out_of_sync = False
        self.waiting = False
        self.closed = False
        self.send_epoll: select.epoll | None = None

    def is_unused(self) -> bool:
        """Return whether the upstream has neither closed the connection nor sent data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def make_failure(self, message: str) -> UpstreamFailed:
        """Return an error for this connection, to be raised by the caller."""
        return UpstreamFailed(f"{self.address}: {message}", sent=self.sent)

    async def receive(self) -> None:
        """Wait for data from the upstream and add it to the buffer."""
        await self.turn.step()
        self.waiting = True
        try:
            while not self.try_receive():
                await _read_wait(self.descriptor)
        finally:
            self.waiting = False

    def try_receive(self) -> bool:
        """Receive without waiting; return False if no data is available."""
        if self.closed:
            raise self.make_failure("The connection was closed to cancel the request.")
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return False
        except OSError as error:
            raise self.make_failure(f"The connection broke: {error}.") from error
        if data:
            self.last_received_at = self.clock.now()
        self.received.feed(data)
        return True

    def read_response_head(self, max_head: int) -> h11.Response | None:
        """Return the answer's head, or None if it is incomplete; interim answers are skipped.

        Args:
            max_head: Maximum size in bytes of the head and the interim answers before it.
        """
        while True:
            try:
                event, size = self.received.read_response()
            except h11.LocalProtocolError as error:
                raise self.make_failure(f"The answer is not valid HTTP: {error}.") from error
            self.head_bytes += size
            if self.head_bytes + (0 if event else len(self.received)) > max_head:
                message = f"The answer's head, with interim answers, exceeds {max_head} bytes."
                raise self.make_failure(message)
            if type(event) is h11.Response:
                return event
            if event is None:
                break
            if event.status_code == SWITCHING_PROTOCOLS:
                raise self.make_failure("It changed the protocol, which it was not asked to.")
        if self.received.closed:
            raise self.make_failure("It closed the connection before its answer was whole.")
        return None

    async def read_body_event(self, reader: BodyReader) -> h11.Data | h11.EndOfMessage:
        """Wait for the next piece or the end of the answer's body."""
        await self.turn.step()
        try:
            while (event := self.received.read_body_event(reader)) is None:
                if self.received.closed and type(reader) is UntilCloseReader:
                    self._check_end()
                    return END_OF_MESSAGE
                if self.received.closed:
                    raise self.make_failure("It closed the connection within its answer.")
                await self.receive()
        except h11.LocalProtocolError as error:
            raise self.make_failure(f"The answer's body is malformed: {error}.") from error
        return event

    def _check_end(self) -> None:
        """Check that the end of the stream is that of an answer.

        An upstream that ends its stream before it has received its request may have broken off: the
        system reports a reset that follows to the next send only.

        Raises:
            UpstreamFailed: It is not.
        """
        if not (self.request_ended and has_delivered_all(self.sock)):
            raise self.make_failure("It ended its answer before it had received the request.")

    def try_send(self, data: bytes | memoryview) -> int:
        """Send without waiting; return the number of bytes sent, 0 if the buffer is full."""
        if self.closed:
            raise self.make_failure("The connection was closed to cancel the request.")
        try:
            count = self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self.make_failure(f"The connection broke: {error}.") from error
        self.sent = self.sent or count > 0
        return count

    async def wait_to_send(self) -> None:
        """Wait until the socket is writable or, if no early answer was received, readable.

        A curio task can wait for only one event. It waits for an epoll descriptor, which is
        readable when the socket is readable or writable.
        """
        if self.early_response is not None:
            await _write_wait(self.descriptor)
            return
        if self.send_epoll is None:
            self.send_epoll = select.epoll()
            self.send_epoll.register(self.sock, select.EPOLLIN | select.EPOLLOUT)
        self.waiting = True
        try:
            await _read_wait(self.send_epoll)
        finally:
            self.waiting = False

    def prepare_for_reuse(self) -> bool:
        """Reset the state for another request; return False if the link cannot be reused."""
        is_complete = (
            self.request_ended
            and self.answer_ended
            and self.keeps_alive
            and not self.is_out_of_sync
        )
        if (
            not is_complete
            or self.closed
            or self.early_response
            or self.received
            or self.received.closed
        ):
            return False
        self._reset_request_state()
        return True

    def _reset_request_state(self) -> None:
        self.sent = False
        self.refused = False
        self.head_bytes = 0
        self.request_ended = False
        self.answer_ended = False
        self.keeps_alive = False

    async def close(self) -> None:
        """Close immediately; a task that waits on the connection is woken and fails.

        Once the socket is closed, later calls do nothing.
        """
        self.closed = True
        if self.sock.fileno() < 0:
            return
        if self.waiting:
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                return
            return
        await _io_release(self.descriptor)
        if self.sent and not self.request_ended:
            # Otherwise an upstream that reads nothing would not notice the end, and get it later.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if self.send_epoll is not None:
            self.send_epoll.close()
        self.sock.close()


def has_delivered_all(sock: socket.socket) -> bool:
    """Return whether the other side has acknowledged all bytes and has not reset the connection."""
    return not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) and not waiting_bytes(
        sock.fileno(), TIOCOUTQ
    )


def waiting_bytes(descriptor: int, buffer: int) -> int:
    """Return how many bytes wait in a buffer of a socket, 0 if the system does not tell.

    Args:
        buffer: `TIOCOUTQ` for bytes that are not acknowledged, `FIONREAD` for those not read.
    """
    count = array("i", [0])
    try:
        ioctl(descriptor, buffer, count)
    except OSError as error:
        log.debug("The system does not tell what waits in a socket: %s.", error)
    return count[0]


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keep-alive, so that a connection with an unresponsive peer fails.

    Otherwise a wait without a timeout on such a connection would never end.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_MAX_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


async def open_socket(address: str, timeout: float) -> socket.socket:
    """Open a connection to `address` ("IP:port") within `timeout` seconds.

    Raises:
        UpstreamFailed: It could not be opened; `sent` is false.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    opened = False
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        error = sock.connect_ex((host.strip("[]"), int(port)))
        if error == EINPROGRESS:
            async with curio.timeout_after(timeout):
                await _write_wait(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect failed")
        opened = True
        return sock
    except curio.TaskTimeout as late:
        message = f"{address}: No connection within {timeout:.3f} s. Try another upstream."
        raise UpstreamFailed(message, sent=False, timed_out=True) from late
    except (OSError, ValueError, OverflowError) as error:
        message = f"{address}: No connection: {error}. Try another upstream."
        refused = isinstance(error, ConnectionRefusedError)
        raise UpstreamFailed(message, sent=False, refused=refused) from error
    finally:
        if not opened:
            await _io_release(sock)
            sock.close()


async def open_link(address: str, clock: Clock, timeout: float) -> Link:
    """Open a link to `address`; see `open_socket`."""
    return Link(address, await open_socket(address, timeout), clock)
