"""Proxies for the path from one daemon to one upstream, which can be cut in each direction."""

import socket
from enum import Enum

import curio

from .proxy import CHUNK_SIZE, abort

UPSTREAM_HOST = "127.0.9.1"
"""Host of all upstreams in their entries; each daemon connects to its own proxies instead."""

FIRST_DAEMON_NET = 10
"""Third number of the loopback address at which the first daemon's proxies listen."""

BACKLOG = 128
POLL_INTERVAL = 0.02
"""Seconds between checks of the path's state and the upstream's process."""


class PathState(Enum):
    """What passes on the path from a daemon to an upstream.

    Attributes:
        OPEN: Everything.
        HANGS: Nothing; new connections get no answer, and what is under way is held.
        RESETS: Nothing; open connections are reset, new ones refused.
        REFUSES: All on open connections; new ones are refused.
        LOSES_ANSWERS: Only what goes to the upstream, on open connections.
        LOSES_REQUESTS: Only what comes from the upstream, on open connections.
    """

    OPEN = "open"
    HANGS = "hangs"
    RESETS = "resets"
    REFUSES = "refuses"
    LOSES_ANSWERS = "loses-answers"
    LOSES_REQUESTS = "loses-requests"


PASSES_REQUESTS = frozenset({PathState.OPEN, PathState.REFUSES, PathState.LOSES_ANSWERS})
PASSES_ANSWERS = frozenset({PathState.OPEN, PathState.REFUSES, PathState.LOSES_REQUESTS})
REFUSES_CONNECTIONS = frozenset({PathState.RESETS, PathState.REFUSES})

CUTS = tuple(state for state in PathState if state is not PathState.OPEN)


def daemon_host(number: int) -> str:
    """Return the loopback address at which the proxies of a daemon listen."""
    return f"127.0.{FIRST_DAEMON_NET + number}.1"


class PathProxy:
    """Forwards connections of one daemon to one upstream.

    Args:
        find_target: Returns the upstream's present "IP:port", "" while its process is not running.

    Attributes:
        states: States set by each cause, by its name; the latest that is not OPEN applies.
    """

    def __init__(self, host: str, port: int, find_target):
        self.host = host
        self.port = port
        self.find_target = find_target
        self.states: dict[str, PathState] = {}
        self.changed = curio.Event()
        self.pairs: set[tuple] = set()
        self.listener: socket.socket | None = None
        self.acceptor: curio.Task | None = None
        self.full_listener: list[socket.socket] = []

    @property
    def state(self) -> PathState:
        """Return what passes at present."""
        return list(self.states.values())[-1] if self.states else PathState.OPEN

    async def run(self) -> None:
        """Listen as the state of the path and the upstream's process ask for, until cancelled."""
        while True:
            await self.apply()
            await curio.sleep(POLL_INTERVAL)

    def set_state(self, state: PathState, cause: str) -> None:
        """Set what passes for one cause, at once; what was held passes if it may now."""
        self.states.pop(cause, None)
        if state is not PathState.OPEN:
            self.states[cause] = state
        if self.state is not PathState.OPEN:
            self.stop_listening()
        if self.state is PathState.RESETS:
            for pair in list(self.pairs):
                for side in pair:
                    abort(side)

    def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        if self.listener is not None:
            self.listener.shutdown(socket.SHUT_RDWR)

    async def apply(self) -> None:
        """Open or close the listening sockets, and wake what was held; open connections stay."""
        await self.changed.set()
        self.changed = curio.Event()
        refuses = self.state in REFUSES_CONNECTIONS or not self.find_target()
        accepts = self.state is PathState.OPEN and not refuses
        if not accepts and self.acceptor is not None:
            acceptor, self.acceptor, self.listener = self.acceptor, None, None
            await acceptor.cancel()
        if (accepts or refuses) and self.full_listener:
            close_all(self.full_listener)
        if accepts and self.acceptor is None:
            sock = curio.tcp_server_socket(
                self.host, self.port, reuse_address=True, backlog=BACKLOG
            )
            self.listener = sock._socket
            self.acceptor = await curio.spawn(self.accept, sock, daemon=True)
        if not accepts and not refuses and not self.full_listener:
            self.full_listener += full_listener(self.host, self.port)

    async def accept(self, listener) -> None:
        """Accept connections until cancelled, or until nothing listens any more."""
        async with listener:
            while True:
                try:
                    client, peer = await listener.accept()
                except OSError:
                    return
                await curio.spawn(self.serve, client, peer, daemon=True)

    async def serve(self, client, peer) -> None:
        """Forward one connection."""
        if self.state in REFUSES_CONNECTIONS:
            abort(client)
            return
        host, _, port = self.find_target().rpartition(":")
        try:
            upstream = await curio.open_connection(host, int(port))
        except (OSError, ValueError):
            abort(client)
            return
        pair = (client, upstream)
        self.pairs.add(pair)
        back = await curio.spawn(self.forward, upstream, client, PASSES_ANSWERS, daemon=True)
        await self.forward(client, upstream, PASSES_REQUESTS)
        await back.wait()
        self.pairs.discard(pair)
        for side in pair:
            await side.close()

    async def forward(self, source, sink, passing: frozenset[PathState]) -> None:
        """Forward one direction until it ends; hold what does not pass in the present state."""
        try:
            while True:
                data = await source.recv(CHUNK_SIZE)
                while self.state not in passing:
                    await self.changed.wait()
                if not data:
                    break
                await sink.sendall(data)
        except OSError:
            pass  # One side is closed; the other is closed below.
        abort(sink)


def full_listener(host: str, port: int) -> list[socket.socket]:
    """Return sockets of which one listens, with a full backlog: it answers no new connection."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(0)
    filler = socket.socket()
    filler.setblocking(False)
    filler.connect_ex((host, port))
    return [listener, filler]


def close_all(sockets: list[socket.socket]) -> None:
    """Close sockets and empty their list."""
    for sock in sockets:
        sock.close()
    sockets.clear()
