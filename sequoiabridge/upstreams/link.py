"""One socket to an upstream with its h11 state, kept over many requests, lent to one at a time."""

import select
import socket
from errno import EINPROGRESS

import curio
import h11
from curio.traps import _io_release, _read_wait, _write_wait

from ..codec import READ_SIZE
from ..exceptions import UpstreamFailed
from ..selector import Descriptor
from ..timers import Clock

LEAST_REFUSAL = 400
"""An early answer with this status or above ends the sending of the request's body."""


class Link:
    """A connection to an upstream below the level of requests.

    Attributes:
        opened: Time at which it was opened, in seconds on the daemon's clock.
        last_heard: Time of the last byte from the upstream.
        requests: How many requests it has carried.
        sent: True once a byte of the present request may have left.
        early: The head of an answer that came before the request's body was sent, or None.
        fed: True if h11 holds bytes that have not been looked at.
        request_ended: True once the whole request was sent.
        answer_ended: True once the whole answer has come, and nothing after it.
        keeps_alive: True if the upstream takes another request.
    """

    __slots__ = (
        "address",
        "sock",
        "descriptor",
        "http",
        "clock",
        "opened",
        "last_heard",
        "requests",
        "sent",
        "early",
        "fed",
        "request_ended",
        "answer_ended",
        "keeps_alive",
        "max_head",
        "waiting",
        "closed",
        "both",
    )

    def __init__(self, address: str, sock: socket.socket, clock: Clock, max_head: int):
        self.address = address
        self.sock = sock
        self.descriptor = Descriptor(sock.fileno())
        self.max_head = max_head
        self.clock = clock
        self.opened = clock.now()
        self.last_heard = self.opened
        self.requests = 0
        self.early: h11.Response | None = None
        self._renew()
        self.waiting = False
        self.closed = False
        self.both: select.epoll | None = None

    @property
    def refused(self) -> bool:
        """Return True if the upstream has refused the request before it had all of it."""
        return self.early is not None and self.early.status_code >= LEAST_REFUSAL

    def usable(self) -> bool:
        """Return True if the upstream has neither closed the connection nor sent anything."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def failed(self, message: str) -> UpstreamFailed:
        """Return the error for a failure on this connection."""
        return UpstreamFailed(f"{self.address}: {message}", sent=self.sent)

    async def receive(self) -> None:
        """Wait for bytes from the upstream and feed them to h11."""
        self.waiting = True
        try:
            while not self.receive_now():
                await _read_wait(self.descriptor)
        finally:
            self.waiting = False

    def receive_now(self) -> bool:
        """Feed h11 what has come; False if nothing has."""
        if self.closed:
            raise self.failed("The connection was closed to cancel the request.")
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return False
        except OSError as error:
            raise self.failed(f"The connection broke: {error}.") from error
        if data:
            self.last_heard = self.clock.now()
        self.http.receive_data(data)
        self.fed = True
        return True

    def next_event(self) -> h11.Event | type:
        """Return h11's next event."""
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise self.failed(f"The answer is not whole or not valid: {error}.") from error

    def send_now(self, data: bytes | memoryview) -> int:
        """Return how many bytes the socket took; 0 if it is full."""
        if self.closed:
            raise self.failed("The connection was closed to cancel the request.")
        try:
            count = self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self.failed(f"The connection broke: {error}.") from error
        self.sent = self.sent or count > 0
        return count

    async def wait_to_send(self) -> None:
        """Wait until the upstream takes bytes or, before its answer, sends some.

        A curio task waits for one thing on one descriptor; an epoll descriptor that is ready when
        the socket is ready for either is that one thing.
        """
        if self.early is not None:
            await _write_wait(self.descriptor)
            return
        if self.both is None:
            self.both = select.epoll()
            self.both.register(self.sock, select.EPOLLIN | select.EPOLLOUT)
        self.waiting = True
        try:
            await _read_wait(self.both)
        finally:
            self.waiting = False

    def finish(self) -> bool:
        """Get ready for another request; False if the connection cannot carry one."""
        whole = self.request_ended and self.answer_ended and self.keeps_alive
        if not whole or self.closed or self.early:
            return False
        self._renew()
        return True

    def _renew(self) -> None:
        """Forget the last request; a new h11 connection costs less than another cycle of it."""
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.max_head)
        self.sent = False
        self.fed = False
        self.request_ended = False
        self.answer_ended = False
        self.keeps_alive = False

    async def close(self) -> None:
        """Close at once. A task that waits on the connection is woken and fails."""
        self.closed = True
        if self.waiting:
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                return
            return
        await _io_release(self.descriptor)
        if self.both is not None:
            self.both.close()
        self.sock.close()


async def open_link(address: str, clock: Clock, max_head: int, timeout: float) -> Link:
    """Open a connection to `address` ("IP:port") within `timeout` seconds.

    Raises:
        UpstreamFailed: It could not be opened; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    opened = False
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex((host.strip("[]"), int(port)))
        if error == EINPROGRESS:
            async with curio.timeout_after(timeout):
                await _write_wait(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect failed")
        opened = True
        return Link(address, sock, clock, max_head)
    except curio.TaskTimeout as late:
        message = f"{address}: No connection within {timeout:.3f} s. Try another upstream."
        raise UpstreamFailed(message, sent=False, timed_out=True) from late
    except (OSError, ValueError) as error:
        message = f"{address}: No connection: {error}. Try another upstream."
        raise UpstreamFailed(message, sent=False) from error
    finally:
        if not opened:
            await _io_release(sock)
            sock.close()
