"""Builds the gateway daemon's parts that open connections to upstreams through peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from .balancing.path_peers import PathPeers
from .balancing.paths import PathTable
from .relay.hello import Hello
from .relay.messages import PeerStopping
from .relay.paths.connection_failures import ConnectionFailures
from .relay.paths.fleet_key import MAX_START_DELAY
from .relay.paths.path_checks import PathChecks
from .relay.paths.peer_port import PeerPort
from .relay.paths.upstream_reach import UpstreamReach

if TYPE_CHECKING:
    from .gateway import Gateway

STOP_NOTICES = 4
"""Number of times that peers are told of a planned stop, since datagrams may be lost."""


class Paths:
    """The parts, and what they do when the daemon starts, stops or hears of a peer.

    Attributes:
        checks: Checks paths that have failed.
        failures: Judges connections that failed.
        port: Serves peers that have lost their paths.
        reach: Refuses calls while there is no way.
    """

    def __init__(self, gateway: Gateway):
        self.gateway = gateway
        table, opener = gateway.path_table, gateway.path_opener
        decisions, clock = gateway.decisions, gateway.clock
        self.checks = PathChecks(table, opener, gateway.members, clock)
        self.failures = ConnectionFailures(table, opener, gateway.sharing, decisions, clock)
        self.port = PeerPort(
            opener,
            gateway.fleet_key,
            self._is_listed,
            self._why_unable,
            decisions,
            gateway.machine_limits,
        )
        self.reach = UpstreamReach(table, gateway.upstreams, clock)
        gateway.send_policy.reach = self.reach
        gateway.sharing.on_peer_stopping = self._handle_stop

    async def start(self, address: str) -> None:
        """Serve peers at `address` ("IP:port") and read the key of the fleet."""
        gateway = self.gateway
        self.port.bind(address)
        await gateway.tasks.start("peers port", self.port.run)
        is_first = gateway.settings.vm.first_start
        delay = gateway.random.uniform(0.0, MAX_START_DELAY) if is_first else 0.0
        await gateway.tasks.start("fleet key", gateway.fleet_key.load, delay)

    async def announce_stop(self, seconds: float) -> None:
        """Tell the peers during `seconds` that this VM opens no more connections for them."""
        for _ in range(STOP_NOTICES):
            self.gateway.sharing.broadcast(PeerStopping(self.gateway.settings.vm.name))
            await curio.sleep(seconds / STOP_NOTICES)

    def handle_hello(self, hello: Hello) -> None:
        """Ask a daemon again that has started anew."""
        self.gateway.path_table.peers.record_stop(hello.vm, False)

    def _handle_stop(self, message: PeerStopping) -> None:
        self.gateway.path_table.peers.record_stop(message.vm, True)

    def _is_listed(self, address: str) -> bool:
        return address in listed_addresses(self.gateway)

    def _why_unable(self) -> str:
        """Return why this VM cannot open connections for peers, "" if it can."""
        if self.gateway.readiness.stopping:
            return "This VM stops."
        table = self.gateway.path_table
        if table.lost_since is not None or table.is_isolated(self.gateway.clock.now()):
            return "This VM has lost its own paths to the upstreams."
        return ""


def build_path_table(gateway: Gateway) -> PathTable:
    """Return the table of paths, which the other parts share."""

    def log_change(event: str, **fields: object) -> None:
        address = fields.get("address")
        if address is not None:
            upstreams = gateway.upstreams.by_id.values()
            fields["upstream"] = next((u.id for u in upstreams if u.address == address), None)
        gateway.decisions.event(event, **fields)

    return PathTable(PathPeers(gateway.random), lambda: listed_addresses(gateway), log_change)


def listed_addresses(gateway: Gateway) -> set[str]:
    """Return the addresses of all listed upstreams."""
    return {upstream.address for upstream in gateway.upstreams.by_id.values()}
