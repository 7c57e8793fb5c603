"""A peer's port, an upstream and a daemon's opener in one process, connected over loopback."""

import socket
from random import Random

import curio

from ....balancing.path_peers import PathPeer, PathPeers
from ....balancing.paths import PathTable
from ....relay.paths.fleet_key import FleetKey
from ....relay.paths.opener import PathOpener
from ....relay.paths.peer_port import PeerPort
from ....relay.paths.protocol import encode_request
from ....selector import LazySelector
from ....timers import SystemClock
from ....upstreams.link import RESET_ON_CLOSE
from ...platform.ports import free_port

KEY = "0123456789abcdef"
UNREACHABLE = "127.0.9.3:1"
"""Address at which nothing listens, so that direct connections are refused."""


class Decisions:
    """Keeps events instead of logging them."""

    def __init__(self):
        self.events = []

    def event(self, event, **fields):
        """Keep an event."""
        self.events.append((event, fields))


def make_key(value=KEY):
    """Return a key that has been read."""
    key = FleetKey(None, Decisions(), SystemClock())
    key.value, key.loaded_at = value, key.clock.now()
    return key


class PeerScene:
    """The parts of the scene.

    Attributes:
        upstream: "IP:port" of the upstream, which answers as `serve_upstream` does.
        address: "IP:port" of the peer's port.
        listed: Addresses that the peer lists.
        why_unable: Why the peer cannot help.
        opener: Opener of a daemon that reaches the upstream through the peer only.
    """

    def __init__(self, serve_upstream):
        self.serve_upstream = serve_upstream
        self.decisions = Decisions()
        self.why_unable = ""

    async def start(self):
        """Start the upstream and the peer's port."""
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.upstream = "{}:{}".format(*sock.getsockname()[:2])
        await curio.spawn(curio.network.run_server, sock, self.serve_upstream, daemon=True)
        self.listed = {self.upstream}
        self.port = PeerPort(
            PathOpener(self.make_table([]), make_key(), SystemClock()),
            make_key(),
            lambda address: address in self.listed,
            lambda: self.why_unable,
            self.decisions,
        )
        self.address = f"127.0.0.1:{free_port()}"
        self.port.bind(self.address)
        await curio.spawn(self.port.run, daemon=True)
        self.table = self.make_table([PathPeer("peer", self.address)])
        self.opener = PathOpener(self.table, make_key(), SystemClock())

    def make_table(self, peers):
        """Return a table of paths with these peers."""
        table = PathTable(PathPeers(Random(1)), lambda: [self.upstream])
        table.peers.update(peers)
        return table

    def lose_direct_path(self):
        """Let the opener assume that the direct path to the upstream is lost."""
        self.table.lost_since = 0.0

    def request(self, address, key=KEY, peer=""):
        """Return a request for a connection to an upstream, with a token for `peer`."""
        return encode_request(address, make_key(key).token(peer or self.address, address))

    async def exchange(self, data):
        """Send bytes to the peer's port; return all that comes back."""
        host, _, port = self.address.rpartition(":")
        sock = await curio.open_connection(host, int(port))
        await sock.sendall(data)
        received = b""
        async with sock:
            while chunk := await sock.recv(65536):
                received += chunk
        return received


def run_scene(test, serve_upstream):
    """Run `test(scene)` with an upstream that handles each connection by `serve_upstream`."""

    async def main():
        scene = PeerScene(serve_upstream)
        await scene.start()
        await curio.timeout_after(10, test, scene)

    curio.run(main, selector=LazySelector())


async def echo(client, address):
    """Send back what comes, until the connection ends."""
    while data := await client.recv(65536):
        await client.sendall(data)


async def answer_and_close(client, address):
    """Answer a request and close the connection in order."""
    await client.recv(65536)
    await client.sendall(b"whole")


async def answer_and_reset(client, address):
    """Answer a part and reset the connection."""
    await client.recv(65536)
    await client.sendall(b"part")
    await curio.sleep(0.05)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
