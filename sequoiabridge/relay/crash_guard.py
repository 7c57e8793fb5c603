"""Records which upstreams crashed while they ran which requests, at all VMs.

`crash_detection` detects crashes and `policy.crashes` attributes them to requests; this module
shares them with the peers. `blocked_requests` keeps what is blocked from the upstreams.
"""

from __future__ import annotations

import curio

from ..balancing.call import Ending
from ..policy.crashes import CRASH_WEIGHT, CrashLedger
from ..timers import Clock
from .attempt import Attempt
from .blocked_requests import MIN_STORED_CRASHES, BlockedRequests
from .call import RelayedCall
from .crash_detection import CrashDetector
from .decisions import DecisionLog
from .messages import RequestCrashed, RequestSurvived
from .sharing import Sharing

MIN_CRASHED_UPSTREAMS = 3
"""Minimum number of distinct upstreams that crashed while running a request before it is blocked.
With fewer, unrelated crashes could block a harmless request. With two, two deaths by chance within
a second blocked a harmless page; callers bring a harmful request again at once, so a third death
costs little."""

OWN, PEER = "own", "peer"
"""Who saw a crash."""


class CrashGuard:
    """Records crashes and answers, by the fingerprint of the request.

    Args:
        blocks: Is told when a block begins or ends.

    Attributes:
        abandoned: Attempts that are still to be checked, with their calls.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        detector: CrashDetector,
        blocks: BlockedRequests,
        sharing: Sharing,
        decisions: DecisionLog,
        clock: Clock,
    ):
        self.ledger = ledger
        self.detector = detector
        self.blocks = blocks
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.abandoned: list[tuple[RelayedCall, Attempt]] = []
        sharing.on_crash = self._record_crash
        sharing.on_survival = self._record_survival

    async def attempt_ended(self, call: RelayedCall, attempt: Attempt) -> None:
        """Check after an attempt whether its upstream crashed, or clear a suspected request."""
        if attempt.ending is Ending.ANSWERED and not attempt.is_streamed:
            self._report_survival(call, attempt)
        elif self.detector.is_suspicious(call, attempt):
            await curio.spawn(self._report_if_crashed(call, attempt), daemon=True)

    def attempt_abandoned(self, call: RelayedCall, attempt: Attempt) -> None:
        """Check soon whether the upstream crashed of an attempt whose call has ended.

        No task is started here, since the call's own task may be ending.
        """
        if self.detector.is_suspicious(call, attempt):
            self.abandoned.append((call, attempt))

    async def check_abandoned(self) -> None:
        """Check the upstreams of abandoned attempts; called periodically."""
        abandoned, self.abandoned = self.abandoned, []
        for call, attempt in abandoned:
            await curio.spawn(self._report_if_crashed(call, attempt), daemon=True)

    def stream_ended(self, call: RelayedCall, is_complete: bool) -> None:
        """Record the end of an answer that was streamed to the caller, if it was.

        No task is started here, since the call's own task may be ending.
        """
        for attempt in call.attempts:
            if not attempt.is_streamed:
                continue
            if is_complete:
                self._report_survival(call, attempt)
            else:
                self.abandoned.append((call, attempt))

    async def _report_if_crashed(self, call: RelayedCall, attempt: Attempt) -> None:
        if not await self.detector.has_crashed(attempt):
            return
        now, name = self.clock.now(), call.fingerprint
        answered_age = self.ledger.answered_age(name, now)
        lifetime = attempt.upstream.lifetime
        crashed = RequestCrashed(name, lifetime, now - attempt.ended_at, answered_age)
        if self._record_crash(crashed, OWN):
            self.sharing.broadcast(crashed)

    def _report_survival(self, call: RelayedCall, attempt: Attempt) -> None:
        """Record a complete answer; a failure may come from an upstream that did not run it."""
        if not attempt.is_success:
            return
        survived = RequestSurvived(call.fingerprint, self.clock.now() - attempt.sent_at)
        if self._record_survival(survived, OWN):
            self.sharing.broadcast(survived)

    def _record_crash(self, crashed: RequestCrashed, seen_by: str = PEER) -> bool:
        """Record a crash; return whether it was unknown so far."""
        now, name = self.clock.now(), crashed.fingerprint
        was_blocked = name in self.ledger.blocks
        at = now - crashed.age
        if crashed.answered_age is not None:
            self.ledger.remember_answer(name, now - crashed.answered_age)
        if not self.ledger.record_crash(name, crashed.upstream, seen_by, at, now):
            return False
        self._log_crash(crashed, seen_by)
        if name in self.ledger.blocks and not was_blocked:
            self._block_began(name)
        elif not was_blocked and self._has_seen_crash(name):
            self.blocks.suspected_here(name)
        return True

    def _has_seen_crash(self, name: str) -> bool:
        """Return whether this VM has seen an upstream crash with a request."""
        return any(OWN in crash.vms for crash in self.ledger.by_fingerprint.get(name, ()))

    def _block_began(self, name: str) -> None:
        if self._has_seen_crash(name):
            self.blocks.blocked_here(name)
        else:
            self.blocks.blocked_by_peers(name)

    def _log_crash(self, crashed: RequestCrashed, seen_by: str) -> None:
        """Log a crash with what speaks for and against the request as its cause."""
        ledger, name = self.ledger, crashed.fingerprint
        crashes = ledger.by_fingerprint.get(name, [])
        others = {other for crash in crashes for other in crash.suspects} - {name}
        self.decisions.event(
            "request-crashed",
            fingerprint=name,
            upstream=crashed.upstream,
            seen_by=seen_by,
            upstreams=len({crash.upstream for crash in crashes}),
            evidence=ledger.evidence(name),
            needed=CRASH_WEIGHT * ledger.certain_upstreams,
            others=sorted(others),
            blocked_others=len(others & ledger.blocked_fingerprints),
            stopped=name in ledger.blocks,
        )

    def _record_survival(self, survived: RequestSurvived, seen_by: str = PEER) -> bool:
        """Record that a request was answered; return whether that cleared it."""
        name = survived.fingerprint
        block = self.ledger.blocks.get(name)
        crashes = self.ledger.by_fingerprint.get(name, ())
        is_enough = len({crash.upstream for crash in crashes}) >= MIN_STORED_CRASHES
        # Of crashes that were stored together, some may have been withdrawn since.
        was_stored = is_enough or bool(crashes and self.ledger.withdrawn_upstreams(name))
        if not self.ledger.record_answer(name, self.clock.now() - survived.age):
            return False
        self.decisions.event("request-cleared", fingerprint=name, seen_by=seen_by)
        if block is not None and name not in self.ledger.blocks:
            self.blocks.ended(name, block, seen_by == OWN)
        elif seen_by == OWN and was_stored:
            self.blocks.cleared_here(name)
        return True
