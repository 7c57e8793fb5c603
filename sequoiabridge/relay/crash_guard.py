"""Stops requests that crash the upstreams that run them, whichever VM they come to.

What counts as a crash: the connection broke before an answer began, and the upstream takes no new
connection. The blame is `policy.crashes`' matter; here the daemons tell each other what they see.
"""

from __future__ import annotations

from hashlib import blake2b

import curio

from ..balancing.call import Ending
from ..exceptions import Refusal
from ..outcome import Outcome, Reason
from ..pipeline.buffering import ReplayableBody
from ..policy.crashes import CrashLedger
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .call import RelayedCall
from .decisions import DecisionLog
from .messages import RequestCrashed, RequestSurvived
from .sharing import Sharing

MIN_CRASHED_UPSTREAMS = 3
"""Distinct upstreams that must have died with a request before it is stopped. With two, two deaths
by chance within a second stopped a harmless page; callers bring a harmful one again at once, so a
third death costs little."""

ALIVE_CHECK_TIMEOUT = 0.1
"""Seconds in which an upstream that lives takes a connection; it needs a few milliseconds."""

RETRY_AFTER = 1.0
"""Seconds after which a stopped request may come again; it is stopped until it is forgotten."""

HOST = b"host"


class CrashGuard:
    """Knows which requests died with which upstreams, by their fingerprints."""

    def __init__(
        self, connector: Connector, sharing: Sharing, decisions: DecisionLog, clock: Clock
    ):
        self.connector = connector
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.ledger = CrashLedger(MIN_CRASHED_UPSTREAMS)
        sharing.on_crash = self._record_crash
        sharing.on_survival = self._record_survival

    def check(self, call: RelayedCall) -> None:
        """Refuse a call that has crashed too many upstreams.

        Raises:
            Refusal: It was not sent.
        """
        if not self.ledger.blocked_fingerprints:
            return
        if not self.ledger.is_blocked(fingerprint(call), self.clock.now()):
            return
        message = "Upstreams died each time they ran this request. It is not sent to more of them."
        raise Refusal(503, Outcome.NOT_RUN, Reason.CRASHES_UPSTREAMS, message, RETRY_AFTER)

    async def attempt_ended(self, call: RelayedCall, attempt: Attempt) -> None:
        """Look whether an upstream died with a call, or answered one that was suspected."""
        if attempt.ending is Ending.ANSWERED:
            self._report_survival(call)
        elif attempt.ending is Ending.BROKEN and attempt.metadata is None:
            await curio.spawn(self._report_if_down(call, attempt), daemon=True)

    async def _report_if_down(self, call: RelayedCall, attempt: Attempt) -> None:
        address = attempt.upstream.address
        if await self.connector.reachable(address, ALIVE_CHECK_TIMEOUT):
            return
        crashed = RequestCrashed(fingerprint(call), attempt.upstream.lifetime)
        if self._record_crash(crashed):
            self.sharing.broadcast(crashed)

    def _report_survival(self, call: RelayedCall) -> None:
        if not self.ledger.by_fingerprint:
            return
        survived = RequestSurvived(fingerprint(call))
        if self._record_survival(survived):
            self.sharing.broadcast(survived)

    def _record_crash(self, crashed: RequestCrashed) -> bool:
        """Enter a crash; return whether it is news."""
        now = self.clock.now()
        is_new = self.ledger.record_crash(crashed.fingerprint, crashed.upstream, "", now, now)
        if is_new:
            stopped = crashed.fingerprint in self.ledger.blocked_fingerprints
            self.decisions.event(
                "request-crashed",
                fingerprint=crashed.fingerprint,
                upstream=crashed.upstream,
                stopped=stopped,
            )
        return is_new

    def _record_survival(self, survived: RequestSurvived) -> bool:
        """Enter that a suspected request was answered; return whether it was one."""
        return self.ledger.record_answer(survived.fingerprint, self.clock.now())


def fingerprint(call: RelayedCall) -> str:
    """Return what the same request of the same caller always has in common."""
    request = call.request
    caller = request.peer.rpartition(":")[0].encode()
    body = request.body.whole if isinstance(request.body, ReplayableBody) else b""
    parts = (request.method, request.header(HOST) or b"", request.target, caller, body)
    digest = blake2b(digest_size=12)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
