"""Soak runs in which upstreams name limits while processes, links and limits change."""

from enum import Enum
from random import Random

import curio

from .deployment import Daemon
from .limits import LIMIT_WINDOW, STABLE_SECONDS, limit_periods
from .record import READ
from .retry_soak import RetrySoak

FIRST_LIMIT_AT = 3.0
"""Seconds from the start of the callers to the first limit."""

LIMITS = ("0.5", "1", "1.3", "2", "3", "5")
"""Limits that upstreams name at random, in requests per second."""

BAD_LIMITS = ("soon", "-1", "nan", "1e99", "1,2")
"""Values that are no limit."""


class LimitScenario(Enum):
    """Which upstreams name limits; `RANDOM` mixes changes of limits with all faults."""

    RANDOM = "random"
    ONE = "one"
    ALL = "all"


class LimitSoak(RetrySoak):
    """One run in which upstreams of one service name limits.

    Args:
        scenario: Which upstreams name limits.
        reads: Number of upstreams of the service.
        call_rate: Calls per second to all daemons together, whether they are answered or not.
        limit: Requests per second that upstreams name in the fixed scenarios.
        skew: Share of the calls that the first daemon gets beyond an even share.
    """

    call_kinds = ((READ, 1.0),)

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        scenario: LimitScenario = LimitScenario.RANDOM,
        reads: int = 4,
        call_rate: float = 30.0,
        limit: str = "1.0",
        skew: float = 0.0,
    ):
        super().__init__(seed, seconds, daemons, reads=reads, call_rate=call_rate)
        self.limit_scenario = scenario
        self.limit = limit
        self.skew = skew
        self.quiet_seconds = FIRST_LIMIT_AT
        self.deployment.retry_slack = 1000.0
        self.deployment.daemon_module = "sequoiabridge.tests.platform.soak.faulty_gateway"

    def check_recovery(self, end: float) -> list[str]:
        """Return no message: refusals are right while upstreams are limited."""
        return []

    def shares_of_limits(self) -> list[float]:
        """Return what upstreams received in long times with a limit, as a multiple of it."""
        shares = []
        for period in limit_periods(self.deployment.record):
            start, end = period.start + STABLE_SECONDS, min(period.end, self.now())
            arrivals = sum(
                a.upstream == period.upstream and start <= a.at < end
                for a in self.deployment.record.arrivals
            )
            if end - start > 2 * LIMIT_WINDOW and period.changes[0][1] > 0:
                shares.append(arrivals / (end - start) / period.changes[0][1])
        return shares

    def choose_daemon(self, daemon: Daemon, random: Random) -> Daemon:
        """Return the first daemon for the skewed share of the calls."""
        if self.skew and random.random() < self.skew:
            daemon = self.deployment.daemons[0]
        return super().choose_daemon(daemon, random)

    async def inject_faults(self, until: float) -> None:
        """Let upstreams name limits until the end; with `RANDOM`, inject faults as well."""
        await curio.sleep(self.quiet_seconds)
        upstreams = self.service_upstreams()
        if self.limit_scenario is LimitScenario.ONE:
            upstreams = upstreams[:1]
        if self.limit_scenario is not LimitScenario.RANDOM:
            for upstream in upstreams:
                upstream.set(limit=self.limit)
            await curio.sleep(until - self.now())
            return
        changes = await curio.spawn(self.change_limits, until)
        # The soak without limits on the retry side: its pressure would hide the limits.
        await super(RetrySoak, self).inject_faults(until)
        await changes.join()

    def fault_kinds(self) -> list:
        """Return the faults and planned operations to choose from; some stand twice."""
        return [
            self.kill_daemons,
            self.pause_daemon,
            self.pause_daemon,
            self.stop_daemon,
            self.stop_daemon,
            self.lose_datagrams,
            self.lose_datagrams,
            self.restart_upstream,
            self.change_configuration,
            self.disturb_store_link,
            self.inject_store_fault,
            self.add_upstream,
        ]

    async def change_limits(self, until: float) -> None:
        """Let limits come, change and go at random upstreams."""
        random = Random(self.seed)
        while self.now() < until:
            upstreams = self.service_upstreams()
            for upstream in upstreams[: random.randint(1, len(upstreams))]:
                bad = random.random() < 0.1
                value = random.choice(BAD_LIMITS if bad else (*LIMITS, *LIMITS, "0", ""))
                upstream.set(limit=value)
            await curio.sleep(random.uniform(1.0, 12.0))
