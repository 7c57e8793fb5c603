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
LISTEN_RETRY_SECONDS = 0.02


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
    """

    def __init__(self, host: str, port: int, find_target):
        self.host = host
        self.port = port
        self.find_target = find_target
        self.state = PathState.OPEN
        self.changed = curio.Event()
        self.pairs: set[tuple] = set()
        self.acceptor: curio.Task | None = None
        self.full_listener: list[socket.socket] = []
        self.listens = False

    async def run(self) -> None:
        """Listen as the state of the path and the upstream's process ask for, until cancelled."""
        while True:
            await self.apply()
            await curio.sleep(LISTEN_RETRY_SECONDS)

    async def set_state(self, state: PathState) -> None:
        """Change what passes from now on; what was held passes if it may now."""
        self.state = state
        await self.changed.set()
        self.changed = curio.Event()
        if state is PathState.RESETS:
            for pair in list(self.pairs):
                for side in pair:
                    reset(side)
        await self.apply()

    async def apply(self) -> None:
        """Open or close the listening sockets."""
        refuses = self.state in REFUSES_CONNECTIONS or not self.find_target()
        accepts = self.state is PathState.OPEN and not refuses
        if not accepts and self.acceptor is not None:
            acceptor, self.acceptor = self.acceptor, None
            await acceptor.cancel()
        if (accepts or refuses) and self.full_listener:
            close_all(self.full_listener)
        if accepts and self.acceptor is None:
            sock = curio.tcp_server_socket(
                self.host, self.port, reuse_address=True, backlog=BACKLOG
            )
            server = curio.network.run_server(sock, self.serve)
            self.acceptor = await curio.spawn(server, daemon=True)
        if not accepts and not refuses and not self.full_listener:
            self.full_listener += full_listener(self.host, self.port)

    async def serve(self, client, peer) -> None:
        """Forward one connection."""
        host, _, port = self.find_target().rpartition(":")
        try:
            upstream = await curio.open_connection(host, int(port))
        except (OSError, ValueError):
            reset(client)
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


def reset(sock) -> None:
    """Shut down a connection; the daemon notices its end at once."""
    abort(sock)
