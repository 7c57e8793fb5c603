"""Builds the gateway daemon's parts that handle requests which crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .policy.crashes import CrashLedger
from .relay.block_table import BlockTable
from .relay.blocked_requests import BlockedRequests
from .relay.crash_detection import CrashDetector
from .relay.crash_guard import MIN_CRASHED_UPSTREAMS, CrashGuard
from .relay.crash_withdrawals import CrashWithdrawals

if TYPE_CHECKING:
    from .gateway import Gateway


def build_crash_parts(gateway: Gateway) -> tuple[CrashGuard, BlockedRequests, CrashWithdrawals]:
    """Return the parts that record crashes, refuse blocked requests and withdraw crashes.

    All of them use one ledger.
    """
    sharing, decisions, clock = gateway.sharing, gateway.decisions, gateway.clock
    ledger = CrashLedger(MIN_CRASHED_UPSTREAMS, MIN_CRASHED_UPSTREAMS)
    table = BlockTable(gateway.store, clock)
    blocks = BlockedRequests(ledger, table, sharing, decisions, clock, gateway.random)
    detector = CrashDetector(
        gateway.connector, gateway.prober, gateway.upstreams, clock, gateway.random
    )
    withdrawals = CrashWithdrawals(
        ledger,
        gateway.upstreams,
        gateway.prober,
        blocks,
        sharing,
        decisions,
        clock,
        lambda: gateway.watchers.is_current,
    )
    return CrashGuard(ledger, detector, blocks, sharing, decisions, clock), blocks, withdrawals
