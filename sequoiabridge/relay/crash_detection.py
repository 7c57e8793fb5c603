"""Finds out whether an upstream crashed while it ran a call."""

from __future__ import annotations

from random import Random

import curio

from ..balancing.call import Ending
from ..balancing.paths import CONNECT_TIMEOUT
from ..balancing.upstream import Upstream
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .call import RelayedCall
from .probing import Identity, Prober
from .upstreams import UpstreamList

MAX_OTHERS_TRIED, MIN_OTHERS_HEARD = 5, 2
"""Maximum number of other upstreams that are tried to find out whether this VM has its paths, and
the number that must answer."""

RECENT_ANSWER_SECONDS = 0.2
"""Seconds for which an upstream that answers counts as alive. The answer to an older request may
have come before the crash."""

RESTART_NOTICE_SECONDS = 2.0
"""Seconds within which the platform's list shows that an upstream has started again."""

RESTART_POLL_INTERVAL = 0.25

CONFIRMATION_TIMEOUT = 0.2
"""Seconds to wait for the answer to a second health check; an upstream that lives needs a few
milliseconds."""

MAX_CHECKS = 200
"""Maximum number of attempts that are checked at the same time."""

UNANSWERED = frozenset({Ending.BROKEN, Ending.CANCELLED, Ending.RESTARTED})
"""Endings after which the upstream may have crashed."""


class CrashDetector:
    """Checks the upstreams of attempts that were left unanswered.

    Attributes:
        checks: Number of checks under way.
    """

    def __init__(
        self,
        connector: Connector,
        prober: Prober,
        upstreams: UpstreamList,
        clock: Clock,
        random: Random,
    ):
        self.connector = connector
        self.random = random
        self.prober = prober
        self.upstreams = upstreams
        self.clock = clock
        self.checks = 0

    def is_suspicious(self, call: RelayedCall, attempt: Attempt) -> bool:
        """Return whether the upstream of an attempt may have crashed because of the call."""
        if attempt.ending not in UNANSWERED or not attempt.sent or self.checks >= MAX_CHECKS:
            return False
        is_planned = (
            attempt.upstream.record.draining or attempt.upstream.departure.since is not None
        )
        return not is_planned and not any(one.is_success for one in call.attempts)

    async def has_crashed(self, attempt: Attempt) -> bool:
        """Return whether the upstream of a suspicious attempt has crashed."""
        self.checks += 1
        try:
            return await self._has_crashed(attempt)
        finally:
            self.checks -= 1

    async def _has_crashed(self, attempt: Attempt) -> bool:
        upstream = attempt.upstream
        if has_ended(upstream):
            return True
        if attempt.ending is Ending.BROKEN or attempt.is_streamed:
            if await self._is_down(upstream):
                return True
        elif upstream.stats.answered_until >= self.clock.now() - RECENT_ANSWER_SECONDS:
            return False
        return await self._is_gone(upstream)

    async def _is_down(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts no connection, before and after others are heard."""
        if await self.connector.is_reachable(upstream.address, CONNECT_TIMEOUT):
            return False
        return await self._hears_others(upstream) and not await self.connector.is_reachable(
            upstream.address, CONNECT_TIMEOUT
        )

    async def _is_gone(self, upstream: Upstream) -> bool:
        """Return whether health checks show that an upstream's lifetime has ended.

        Two checks without an answer show it, if others are heard between them; else this VM may
        have lost its paths, maybe in the middle of the first check.
        """
        end = self.clock.now() + RESTART_NOTICE_SECONDS
        while not has_ended(upstream):
            identity = await self.prober.check_identity(upstream)
            if identity is Identity.NOBODY and await self._hears_others(upstream):
                identity = await self.prober.check_identity(upstream, CONFIRMATION_TIMEOUT, False)
                if identity is Identity.NOBODY:
                    return True
            if identity is Identity.ANOTHER:
                return True
            if identity is Identity.SAME:
                return await self._ends_soon(upstream)
            if self.clock.now() >= end:
                return False
            await curio.sleep(RESTART_POLL_INTERVAL)
        return True

    async def _hears_others(self, upstream: Upstream) -> bool:
        """Return whether enough other upstreams answer this VM now.

        If one alone does, the paths to all others may be lost rather than one upstream.
        """
        since = self.clock.now()
        others = [other for other in self.upstreams.by_id.values() if other is not upstream]
        heard = 0
        for other in self.random.sample(others, min(MAX_OTHERS_TRIED, len(others))):
            heard += await self._is_heard(other, since)
            if heard >= min(MIN_OTHERS_HEARD, len(others)):
                return True
        return False

    async def _is_heard(self, upstream: Upstream, since: float) -> bool:
        """Return whether an upstream answers something that is sent after `since`.

        If no health check may be sent, it must accept a connection.
        """
        if upstream.stats.answered_until >= since:
            return True
        identity = await self.prober.check_identity(upstream, CONFIRMATION_TIMEOUT, False)
        if identity is Identity.UNKNOWN:
            return await self.connector.is_reachable(upstream.address, CONNECT_TIMEOUT)
        return identity is not Identity.NOBODY

    async def _ends_soon(self, upstream: Upstream) -> bool:
        """Return whether the lifetime of an upstream turns out to have ended."""
        end = self.clock.now() + RESTART_NOTICE_SECONDS
        while not has_ended(upstream) and self.clock.now() < end:
            await curio.sleep(RESTART_POLL_INTERVAL)
        return has_ended(upstream)


def has_ended(upstream: Upstream) -> bool:
    """Return whether the lifetime of an upstream is known to have ended."""
    return upstream.has_restarted or upstream.replaced
