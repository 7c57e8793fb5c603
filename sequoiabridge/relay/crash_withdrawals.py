"""Withdraws crashes of upstreams that turn out to be alive.

An upstream that was only suspended, or cut off from this VM, answers nothing, as if it had crashed.
If the same lifetime answers again, the crash has not happened, and no request is suspected of it.
"""

from __future__ import annotations

from collections.abc import Callable

from ..balancing.upstream import Upstream
from ..policy.crash_records import Block
from ..policy.crashes import CrashLedger
from ..timers import Clock
from .blocked_requests import STORE, BlockedRequests
from .crash_detection import RESTART_NOTICE_SECONDS
from .crash_guard import OWN
from .decisions import DecisionLog
from .messages import CrashWithdrawn, RequestUnblocked
from .probing import Prober
from .sharing import Sharing
from .upstreams import UpstreamList

WITHDRAWAL_CHECK_INTERVAL = 0.5
"""Seconds between two checks of the upstreams that count as crashed."""

MIN_ANSWERING_CHECKS = round(RESTART_NOTICE_SECONDS / WITHDRAWAL_CHECK_INTERVAL) + 1
"""Number of checks in a row that must find an upstream answering in the same lifetime. An upstream
that has started again may answer before the platform's list shows it. Checks are counted, not
seconds, since a VM that was suspended has missed changes of the list."""

MAX_PROBED = 20
"""Maximum number of upstreams that are probed at each check."""


class CrashWithdrawals:
    """Checks whether upstreams that count as crashed answer again.

    Args:
        is_current: Returns whether changes of the platform's list reach this VM.

    Attributes:
        answering_checks: Number of checks in a row that found an upstream answering, by lifetime.
        withdrawn: Number of upstreams whose crashes this VM has withdrawn.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        upstreams: UpstreamList,
        prober: Prober,
        blocks: BlockedRequests,
        sharing: Sharing,
        decisions: DecisionLog,
        clock: Clock,
        is_current: Callable[[], bool],
    ):
        self.ledger = ledger
        self.upstreams = upstreams
        self.prober = prober
        self.blocks = blocks
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.is_current = is_current
        self.answering_checks: dict[str, int] = {}
        self.withdrawn = 0
        sharing.on_withdrawal = self.handle_withdrawal

    async def check(self) -> None:
        """Probe the upstreams that count as crashed, and withdraw crashes; called periodically."""
        if not self.ledger.crashes and not self.answering_checks:
            return
        if not self.is_current():
            self.answering_checks = {}
            return
        silent, answering = [], {}
        for upstream, crashed_at in self._listed():
            if upstream.stats.answered_until <= crashed_at:
                silent.append(upstream)
                continue
            count = answering[upstream.lifetime] = (
                self.answering_checks.get(upstream.lifetime, 0) + 1
            )
            if count >= MIN_ANSWERING_CHECKS:
                del answering[upstream.lifetime]
                self._withdraw_here(upstream)
        self.answering_checks = answering
        await self.prober.probe_all(silent[:MAX_PROBED], timeout=0.0)

    def handle_withdrawal(self, message: CrashWithdrawn) -> None:
        """Withdraw crashes of which a peer says that they have not happened."""
        self._withdraw(message.upstream, self.clock.now() - message.age)

    def _listed(self) -> list[tuple[Upstream, float]]:
        """Return the upstreams that count as crashed but are listed in the same lifetime.

        Each comes with the time of its latest crash. What only peers have seen is left to them.
        """
        found = []
        for name, crashes in self.ledger.by_upstream.items():
            upstream = self.upstreams.find_lifetime(name)
            if upstream is None or upstream.record.born is None or not upstream.accepts_calls:
                continue
            if any(crash.suspects and crash.vms & {OWN, STORE} for crash in crashes):
                found.append((upstream, max(crash.at for crash in crashes)))
        return found

    def _withdraw_here(self, upstream: Upstream) -> None:
        """Withdraw crashes that this VM has found not to have happened, at all VMs."""
        self.withdrawn += 1
        answered_at = upstream.stats.answered_until
        age = self.clock.now() - answered_at
        self.sharing.broadcast(CrashWithdrawn(upstream.lifetime, age))
        for fingerprint, block in self._withdraw(upstream.lifetime, answered_at).items():
            self.blocks.withdrawn_here(fingerprint)
            if block is not None:
                self.sharing.broadcast(RequestUnblocked(fingerprint))

    def _withdraw(self, lifetime: str, until: float) -> dict[str, Block | None]:
        """Withdraw crashes; return the suspected requests with the blocks that have ended."""
        suspects = self.ledger.withdraw_crashes(lifetime, until, self.clock.now())
        if suspects:
            self.decisions.event("crash-withdrawn", upstream=lifetime, requests=sorted(suspects))
        for fingerprint, block in suspects.items():
            if block is not None:
                self.blocks.ended(fingerprint, block, False)
        return suspects
