"""Opens connections to upstreams for peers that have lost their own paths.

It serves daemons of the fleet only, which prove that they know its key, and leads to listed
upstreams only.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from enum import Enum
from termios import FIONREAD

import curio
import h11
from curio.io import Socket
from curio.traps import _io_release, _read_wait

from ...callers.machine import MachineLimits
from ...exceptions import PeerRequestRejected, UpstreamFailed
from ...logs import get_log
from ...turns import Turn
from ...upstreams.link import (
    RESET_ON_CLOSE,
    Link,
    enable_keepalive,
    has_delivered_all,
    waiting_bytes,
)
from ..decisions import DecisionLog
from .fleet_key import FleetKey
from .opener import PathOpener
from .protocol import AUTHORIZATION, BEARER, MAX_HEAD_BYTES, PeerStatus, encode_answer

log = get_log("peer_port")

BACKLOG = 256
"""Backlog of the listening socket, in connections."""

ACCEPT_RETRY_SECONDS = 0.05
"""Seconds before the next attempt after accepting a connection failed."""

HEAD_TIMEOUT = 1.0
"""Seconds within which a peer must have sent its request."""

PEER_DIRECT_TIMEOUT = 0.08
"""Seconds to wait for the upstream; the peer waits a little longer for the answer."""

CHUNK_BYTES = 65536
"""Maximum number of bytes forwarded at a time."""

MAX_TUNNELS = 400
"""Maximum number of connections forwarded at a time, if the machine has room for them."""

MAX_CONNECTIONS = 600
"""Maximum number of connections, with those that have not sent a request; more are closed."""

CLOSE_TIMEOUT = 10.0
"""Seconds for which a peer may go on reading once the upstream has ended its answer."""


class TunnelEnd(Enum):
    """How a forwarded direction ended."""

    CLOSED = "closed"
    BROKEN = "broken"


class PeerPort:
    """Serves peers.

    Args:
        opener: Opens direct connections to upstreams.
        listed: Returns whether an address is that of a listed upstream.
        why_unable: Returns why this VM cannot help now, "" if it can.
        machine: Limits of the machine; those of the system if None.

    Attributes:
        address: "IP:port" at which it listens, as peers know it.
        tunnels: Number of connections served at present.
        opened: Number of connections that were opened for peers.
        rejected: Number of requests that were rejected, by status.
    """

    def __init__(
        self,
        opener: PathOpener,
        key: FleetKey,
        listed: Callable[[str], bool],
        why_unable: Callable[[], str],
        decisions: DecisionLog,
        machine: MachineLimits | None = None,
    ):
        machine = machine or MachineLimits()
        self.max_tunnels = min(MAX_TUNNELS, machine.tunnels)
        self.max_connections = min(MAX_CONNECTIONS, machine.peer_connections)
        self.opener = opener
        self.key = key
        self.listed = listed
        self.why_unable = why_unable
        self.decisions = decisions
        self.address = ""
        self.listener: socket.socket | None = None
        self.tunnels = 0
        self.opened = 0
        self.rejected: dict[str, int] = {}

    def bind(self, address: str) -> None:
        """Listen on `address` ("IP:port"); on failure, peers are not served."""
        self.address = address
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
        except OSError as error:
            listener.close()
            log.warning("Cannot listen on %s: %s. Free the port and restart.", address, error)
            return
        listener.setblocking(False)
        self.listener = listener

    async def run(self) -> None:
        """Accept connections until cancelled."""
        if self.listener is None:
            return
        while True:
            await _read_wait(self.listener)
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                continue  # The peer has left meanwhile.
            except OSError as error:
                log.warning("Cannot accept a connection: %s. Raise the limit of open files.", error)
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if self.tunnels >= self.max_connections:
                self._count("too-many")
                log.info("Closed a peer's connection, since %d are open.", self.tunnels)
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(sock)
            # If this process ends, its peer must not take that for the end of an answer.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await curio.spawn(self._serve, Socket(sock), f"{peer[0]}:{peer[1]}", daemon=True)

    async def _serve(self, sock: Socket, peer: str) -> None:
        self.tunnels += 1
        link = None
        try:
            async with curio.timeout_after(HEAD_TIMEOUT):
                address, early = await self._read_request(sock)
            link = await self._open(address)
            await sock.sendall(encode_answer(PeerStatus.OPENED, ""))
            self.opened += 1
            await forward(sock, link, early)
        except PeerRequestRejected as error:
            await self._reject(sock, peer, error)
        except curio.TaskTimeout:
            message = f"No request came within {HEAD_TIMEOUT} s. Send it at once."
            await self._reject(sock, peer, PeerRequestRejected(PeerStatus.MALFORMED, message))
        except OSError as error:
            log.debug("The connection of peer %s broke: %s.", peer, error)
        finally:
            self.tunnels -= 1
            if link is not None:
                await link.close()
            await sock.close()

    async def _read_request(self, sock: Socket) -> tuple[str, bytes]:
        """Return the address that a peer asks for, and what it sent after its request.

        Raises:
            PeerRequestRejected: The request is malformed or has no valid token.
        """
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            while (event := state.next_event()) is h11.NEED_DATA:
                state.receive_data(await sock.recv(MAX_HEAD_BYTES))
        except h11.RemoteProtocolError as error:
            message = f"This port takes CONNECT requests of the fleet's daemons only: {error}."
            raise PeerRequestRejected(PeerStatus.MALFORMED, message) from error
        if type(event) is not h11.Request or event.method != b"CONNECT":
            message = "This port takes CONNECT requests of the fleet's daemons only."
            raise PeerRequestRejected(PeerStatus.MALFORMED, message)
        target = event.target.decode("latin-1")
        if not self.key.matches(presented_token(event), self.address, target):
            await curio.spawn(self.key.reload, daemon=True)
            message = "The token was not made with the fleet's key. Read it from the store."
            raise PeerRequestRejected(PeerStatus.FORBIDDEN, message)
        return target, state.trailing_data[0]

    async def _open(self, address: str) -> Link:
        """Return a direct link to an upstream.

        Raises:
            PeerRequestRejected: The address is not listed, this VM cannot help, or the upstream did
                not accept the connection.
        """
        if not self.listed(address):
            message = f"{address} is the address of no listed upstream. Ask for one that is."
            raise PeerRequestRejected(PeerStatus.FORBIDDEN, message)
        why = self.why_unable()
        if not why and self.tunnels > self.max_tunnels:
            why = f"It serves {self.max_tunnels} connections already."
        if why:
            raise PeerRequestRejected(PeerStatus.NO_PATH, f"{why} Ask another peer.")
        try:
            return await self.opener.open_directly(address, PEER_DIRECT_TIMEOUT)
        except UpstreamFailed as error:
            status = PeerStatus.REFUSED if error.refused else PeerStatus.TIMED_OUT
            raise PeerRequestRejected(status, str(error)) from error

    def _count(self, status: str) -> None:
        self.rejected[status] = self.rejected.get(status, 0) + 1

    async def _reject(self, sock: Socket, peer: str, error: PeerRequestRejected) -> None:
        """Answer a rejected request, and log it if no daemon of the fleet would send it."""
        status = PeerStatus(error.status)
        name = status.name.lower().replace("_", "-")
        self._count(name)
        if status in (PeerStatus.MALFORMED, PeerStatus.FORBIDDEN):
            self.decisions.event("peer-request-rejected", peer=peer, status=name, why=str(error))
        try:
            await sock.sendall(encode_answer(status, str(error)))
            await sock.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(HEAD_TIMEOUT):
                while await sock.recv(CHUNK_BYTES):
                    pass
        except OSError as broken:
            log.debug("Peer %s did not take its answer: %s.", peer, broken)


def presented_token(request: h11.Request) -> str:
    """Return the token in a request, "" if there is none."""
    for name, value in request.headers:
        if name == AUTHORIZATION and value.startswith(BEARER):
            return value.removeprefix(BEARER).decode("latin-1")
    return ""


class Direction:
    """One direction of a forwarded connection.

    Attributes:
        is_sending: Whether bytes have been received that are not sent yet.
    """

    __slots__ = ("source", "sink", "is_sending")

    def __init__(self, source: Socket, sink: Socket):
        self.source = source
        self.sink = sink
        self.is_sending = False

    async def copy(self) -> TunnelEnd:
        """Copy until the direction ends."""
        turn = Turn()
        try:
            while data := await self.source.recv(CHUNK_BYTES):
                self.is_sending = True
                await self.sink.sendall(data)
                self.is_sending = False
                await turn.step()
        except OSError:
            return TunnelEnd.BROKEN
        return TunnelEnd.CLOSED

    def has_delivered_all(self) -> bool:
        """Return whether all that has come from the source has reached the other side."""
        if self.is_sending or waiting_bytes(self.source.fileno(), FIONREAD):
            return False
        return has_delivered_all(self.sink._socket)


async def forward(sock: Socket, link: Link, early: bytes) -> None:
    """Forward bytes between a peer and an upstream until one of them ends the connection.

    The end of the upstream's stream is passed on; that of the peer's ends both at once. A broken
    connection to the upstream resets the peer's, so that an answer that broke off does not look
    complete; so does an upstream that ends its stream before it has received its request.
    """
    upstream = Socket(link.sock)
    if early:
        await upstream.sendall(early)
    request, answer = Direction(sock, upstream), Direction(upstream, sock)
    async with curio.TaskGroup(wait=any) as tasks:
        back = await tasks.spawn(answer.copy)
        await tasks.spawn(request.copy)
        await tasks.spawn(wait_for_hangup, sock)
    if tasks.completed is not back or back.result is not TunnelEnd.CLOSED:
        return
    if not request.has_delivered_all():
        return
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(CLOSE_TIMEOUT):
        await request.copy()


async def wait_for_hangup(sock: Socket) -> None:
    """Return once the other side has ended its stream, also while its bytes are still unread.

    A copy that waits for an upstream which reads nothing would never see it.
    """
    epoll = select.epoll()
    try:
        epoll.register(sock.fileno(), select.EPOLLRDHUP)
        await _read_wait(epoll)
    finally:
        await _io_release(epoll)
        epoll.close()
