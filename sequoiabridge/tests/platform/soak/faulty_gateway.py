"""The gateway daemon with faults: it loses datagrams to peers, or ignores what upstreams say.

The share of lost datagrams is read from the file next to the settings whose name ends with
`LOSS_SUFFIX`.
"""

import sys
from pathlib import Path
from random import Random

from ....relay.channel import Channel

LOSS_SUFFIX = ".loss"
IGNORE_LIMITS = "--ignore-limits"
IGNORE_RESTS = "--ignore-rests"
IGNORE_DEPARTURES = "--ignore-departures"
IGNORE_CRASHES = "--ignore-crashes"
DIVIDE_BLAME = "--divide-blame"


class LossyChannel(Channel):
    """A channel that loses datagrams at random.

    Attributes:
        file: File with the share of lost datagrams; nothing is lost without it.
    """

    file = Path()
    random = Random(1)

    def send(self, message, addresses) -> None:
        share = float(self.file.read_text() or 0.0) if self.file.exists() else 0.0
        super().send(message, [a for a in addresses if self.random.random() >= share])


def divide_blame(ledger_class) -> None:
    """Let only the blame block requests, which is divided among all that crash upstreams."""
    ledger_class.has_enough_evidence = lambda ledger, fingerprint: False
    ledger_class._uses_blame = True


def main(settings: str, *options: str) -> int:
    """Run the daemon of a settings file."""
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
    if IGNORE_DEPARTURES in options:
        Departures.record = lambda *arguments: None

    LossyChannel.file = Path(settings + LOSS_SUFFIX)
    sharing.Channel = LossyChannel
    from ....gateway_process import run_daemon

    return run_daemon(settings)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
