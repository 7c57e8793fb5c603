"""Blocks requests that crash upstreams, on all VMs.

`crash_detection` detects crashes, `policy.crashes` attributes them to requests; this module shares
them with the peers.
"""

from __future__ import annotations

import curio

from ..balancing.call import Ending
from ..balancing.send_policy import RequestBlocks
from ..exceptions import Refusal
from ..outcome import Outcome, Reason
from ..policy.crashes import CRASH_WEIGHT, CrashLedger
from ..timers import Clock
from .attempt import Attempt
from .call import RelayedCall
from .crash_detection import CrashDetector
from .decisions import DecisionLog
from .messages import Hello, RequestCrashed, RequestSurvived
from .sharing import Sharing

MIN_CRASHED_UPSTREAMS = 3
"""Minimum number of distinct upstreams that crashed while running a request before it is blocked.
With fewer, unrelated crashes could block a harmless request. With two, two deaths by chance within
a second blocked a harmless page; callers bring a harmful request again at once, so a third death
costs little."""

MAX_SENT_CRASHES = 60
"""Maximum number of crashes that a daemon which has just started is told by each peer."""

RETRY_AFTER = 1.0
"""Seconds in the Retry-After header of a blocked request."""


class CrashGuard(RequestBlocks):
    """Records which upstreams crashed while running which requests, by request fingerprint.

    Attributes:
        withheld: Number of times that a send was held back because its request is blocked.
        abandoned: Attempts that are still to be checked, with their calls.
    """

    def __init__(
        self, detector: CrashDetector, sharing: Sharing, decisions: DecisionLog, clock: Clock
    ):
        self.detector = detector
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.ledger = CrashLedger(MIN_CRASHED_UPSTREAMS, MIN_CRASHED_UPSTREAMS)
        self.withheld = 0
        self.abandoned: list[tuple[RelayedCall, Attempt]] = []
        sharing.on_crash = self._record_crash
        sharing.on_survival = self._record_survival

    def refusal(self, call: RelayedCall) -> Refusal | None:
        """Return the refusal of a call whose request is blocked, None if it is not."""
        if not self.ledger.blocks:
            return None
        if not self.ledger.is_blocked(call.fingerprint, self.clock.now()):
            return None
        self.withheld += 1
        if call.possible_runs:
            message = "Upstreams died each time they ran this request, which may have run."
            return Refusal(502, Outcome.UNKNOWN, Reason.CRASHES_UPSTREAMS, message)
        message = "Upstreams died each time they ran this request. It is not sent to more of them."
        return Refusal(503, Outcome.NOT_RUN, Reason.CRASHES_UPSTREAMS, message, RETRY_AFTER)

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

    async def stream_ended(self, call: RelayedCall, is_complete: bool) -> None:
        """Record the end of an answer that was streamed to the caller, if it was."""
        for attempt in call.attempts:
            if not attempt.is_streamed:
                continue
            if is_complete:
                self._report_survival(call, attempt)
            else:
                await curio.spawn(self._report_if_crashed(call, attempt), daemon=True)

    async def _report_if_crashed(self, call: RelayedCall, attempt: Attempt) -> None:
        if not await self.detector.has_crashed(attempt):
            return
        age = self.clock.now() - attempt.ended_at
        crashed = RequestCrashed(call.fingerprint, attempt.upstream.lifetime, age)
        if self._record_crash(crashed):
            self.sharing.broadcast(crashed)

    def send_blocked(self, hello: Hello) -> None:
        """Tell a daemon that has just started which requests are blocked, and why."""
        now = self.clock.now()
        known = [
            RequestCrashed(fingerprint, crash.upstream, max(0.0, now - crash.at))
            for fingerprint in sorted(self.ledger.blocked_fingerprints)
            for crash in self.ledger.by_fingerprint.get(fingerprint, ())
        ]
        for crashed in known[:MAX_SENT_CRASHES]:
            self.sharing.channel.send(crashed, [hello.address])

    def _report_survival(self, call: RelayedCall, attempt: Attempt) -> None:
        """Record a complete answer; a failure may come from an upstream that did not run it."""
        if not attempt.is_success:
            return
        survived = RequestSurvived(call.fingerprint, self.clock.now() - attempt.sent_at)
        if self._record_survival(survived):
            self.sharing.broadcast(survived)

    def _record_crash(self, crashed: RequestCrashed) -> bool:
        """Record a crash; return whether it was unknown so far."""
        now = self.clock.now()
        at = now - crashed.age
        is_new = self.ledger.record_crash(crashed.fingerprint, crashed.upstream, "", at, now)
        if is_new:
            self._log_crash(crashed)
        return is_new

    def _log_crash(self, crashed: RequestCrashed) -> None:
        """Log a crash with what speaks for and against the request as its cause."""
        ledger, name = self.ledger, crashed.fingerprint
        crashes = ledger.by_fingerprint.get(name, [])
        others = {other for crash in crashes for other in crash.suspects} - {name}
        self.decisions.event(
            "request-crashed",
            fingerprint=name,
            upstream=crashed.upstream,
            upstreams=len({crash.upstream for crash in crashes}),
            evidence=ledger.evidence(name),
            needed=CRASH_WEIGHT * ledger.certain_upstreams,
            others=sorted(others),
            blocked_others=len(others & ledger.blocked_fingerprints),
            stopped=name in ledger.blocked_fingerprints,
        )

    def _record_survival(self, survived: RequestSurvived) -> bool:
        """Record that a request was answered; return whether it was suspected of crashes."""
        name = survived.fingerprint
        was_blocked = name in self.ledger.blocked_fingerprints
        was_suspect = self.ledger.record_answer(name, self.clock.now() - survived.age)
        if was_suspect:
            self.decisions.event("request-cleared", fingerprint=name, was_blocked=was_blocked)
        return was_suspect
