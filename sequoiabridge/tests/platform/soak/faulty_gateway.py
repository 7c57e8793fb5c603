"""The gateway daemon with faults: it loses datagrams to peers, or ignores what upstreams say.

The share of lost datagrams is read from the file next to the settings whose name ends with
`LOSS_SUFFIX`. The peers that it cannot reach are listed in the file whose name ends with
`UNREACHABLE_SUFFIX`, one "IP:port" a line.
"""

import socket
import sys
from pathlib import Path
from random import Random

from ....relay.channel import Channel
from .path_proxy import UPSTREAM_HOST

LOSS_SUFFIX = ".loss"
UNREACHABLE_SUFFIX = ".unreachable"
UPSTREAMS_AT = "--upstreams-at="
"""Option that names the host at which the daemon's paths to the upstreams begin."""
SILENCE_AT = "--silence-at="
"""Option that names the "IP:port" at which nothing answers, in place of unreachable peers."""
IGNORE_LIMITS = "--ignore-limits"
IGNORE_RESTS = "--ignore-rests"
IGNORE_DEPARTURES = "--ignore-departures"
IGNORE_CRASHES = "--ignore-crashes"
DIVIDE_BLAME = "--divide-blame"
ASK_NO_PEERS = "--ask-no-peers"


class LossyChannel(Channel):
    """A channel that loses datagrams at random.

    Attributes:
        file: File with the share of lost datagrams; nothing is lost without it.
    """

    file = Path()
    random = Random(1)

    def send(self, message, addresses) -> None:
        share = float(self.file.read_text() or 0.0) if self.file.exists() else 0.0
        unreachable = read_unreachable()
        reached = [a for a in addresses if a not in unreachable]
        super().send(message, [a for a in reached if self.random.random() >= share])


class UnreachablePeers:
    """The file that lists the peers which the daemon cannot reach."""

    file = Path()


def read_unreachable() -> set[str]:
    """Return the addresses of the peers that the daemon cannot reach."""
    file = UnreachablePeers.file
    return set(file.read_text().split()) if file.exists() else set()


def redirect_connections(host: str, silent_address: str) -> None:
    """Let connections to upstreams go to `host`, those to unreachable peers to another address."""
    silent_host, _, silent_port = silent_address.rpartition(":")
    connect_ex = socket.socket.connect_ex

    def redirected(sock, address):
        if address[0] == UPSTREAM_HOST:
            address = (host, address[1])
        elif f"{address[0]}:{address[1]}" in read_unreachable():
            address = (silent_host, int(silent_port))
        return connect_ex(sock, address)

    socket.socket.connect_ex = redirected


def divide_blame(ledger_class) -> None:
    """Let only the blame block requests, which is divided among all that crash upstreams."""
    ledger_class.has_enough_evidence = lambda ledger, fingerprint: False
    ledger_class._uses_blame = True


def value_of(name: str, options: tuple[str, ...]) -> str:
    """Return the value of an option, "" if it is not given."""
    values = [option.removeprefix(name) for option in options if option.startswith(name)]
    return values[0] if values else ""


def main(settings: str, *options: str) -> int:
    """Run the daemon of a settings file."""
    from ....balancing.path_peers import PathPeers
    from ....policy.crashes import CrashLedger
    from ....relay import sharing
    from ....relay.departures import Departures
    from ....relay.request_limits import RequestLimits
    from ....relay.rests import Rests

    if IGNORE_LIMITS in options:
        RequestLimits._observe = lambda *arguments: False
    if IGNORE_RESTS in options:
        Rests.record = lambda *arguments: None
    if IGNORE_CRASHES in options:
        CrashLedger.record_crash = lambda *arguments: False
    if DIVIDE_BLAME in options:
        divide_blame(CrashLedger)
    if ASK_NO_PEERS in options:
        PathPeers.to_ask = lambda *arguments: []
    if IGNORE_DEPARTURES in options:
        Departures.record = lambda *arguments: None

    if host := value_of(UPSTREAMS_AT, options):
        redirect_connections(host, value_of(SILENCE_AT, options))
    LossyChannel.file = Path(settings + LOSS_SUFFIX)
    UnreachablePeers.file = Path(settings + UNREACHABLE_SUFFIX)
    sharing.Channel = LossyChannel
    from ....gateway_process import run_daemon

    return run_daemon(settings)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
