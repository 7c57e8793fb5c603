"""Soak runs in which upstreams ask for rest or say that they leave, beside limits and faults."""

from enum import Enum
from random import Random

import curio

from .limit_soak import LimitScenario, LimitSoak
from .record import APPROVE, READ, UPLOAD

RESTS = ("0.5", "1", "2.5", "3", "5", "0")
"""Rests that upstreams ask for at random, in seconds."""

BAD_RESTS = ("soon", "-1", "Fri, 04 Dec 2026 10:00:00 GMT", "1,2")
"""Values that are no rest."""

MAX_LEAVING_SECONDS = 8.0
"""Maximum seconds for which an upstream that leaves goes on before it ends or starts again."""

MIN_READS = 3
"""Number of upstreams of the service that do not leave."""


class NoticeScenario(Enum):
    """What upstreams say; `RANDOM` mixes rests, departures and limits with all faults."""

    RANDOM = "random"
    REST = "rest"
    LEAVING = "leaving"


class NoticeSoak(LimitSoak):
    """One run in which upstreams say what calls they want.

    Args:
        scenario: What they say.
        affected: Number of upstreams of the service that say it, in the fixed scenarios.
        rest: Seconds of rest that they ask for then.
        rejected: Share of the calls that they reject then.
    """

    call_kinds = ((READ, 0.7), (APPROVE, 0.2), (UPLOAD, 0.1))

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        scenario: NoticeScenario = NoticeScenario.RANDOM,
        reads: int = 4,
        call_rate: float = 30.0,
        affected: int = 4,
        rest: str = "3",
        rejected: float = 0.3,
        skew: float = 0.0,
    ):
        super().__init__(seed, seconds, daemons, LimitScenario.RANDOM, reads, call_rate, skew=skew)
        self.notice_scenario = scenario
        self.affected = affected
        self.rest = rest
        self.rejected = rejected

    def limit_summary(self) -> str:
        """Return the numbers of rests and of answers of leaving upstreams, and the limits."""
        record = self.deployment.record
        said = f"{len(record.rests)} rests, {len(record.departures)} answers of leaving upstreams"
        return f"{said}; {super().limit_summary()}"

    async def inject_faults(self, until: float) -> None:
        """Let upstreams say what calls they want until the end."""
        if self.notice_scenario is NoticeScenario.RANDOM:
            changes = [
                await curio.spawn(self.change_rests, until),
                await curio.spawn(self.change_departures, until),
            ]
            await super().inject_faults(until)
            for task in changes:
                await task.join()
            return
        await curio.sleep(self.quiet_seconds)
        for upstream in self.service_upstreams()[: self.affected]:
            if self.notice_scenario is NoticeScenario.REST:
                upstream.set(rest=self.rest, rejected=self.rejected)
            else:
                upstream.set(leaving="1")
        await curio.sleep(until - self.now())

    def fault_kinds(self) -> list:
        """Return the faults and planned operations to choose from; some stand twice."""
        return [*super().fault_kinds(), self.stop_some_upstreams, self.reload_settings]

    async def change_rests(self, until: float) -> None:
        """Let random upstreams of all services reject calls and ask for rest, in series."""
        random = Random(self.seed + 1)
        await curio.sleep(self.quiet_seconds)
        while self.now() < until:
            upstreams = list(self.deployment.upstreams.values())
            affected = random.sample(upstreams, random.randint(1, len(upstreams)))
            bad = random.random() < 0.1
            rest = random.choice(BAD_RESTS if bad else RESTS)
            rejected = random.choice((0.1, 0.3, 1.0))
            for upstream in affected:
                upstream.set(rest=rest, rejected=rejected)
            await curio.sleep(random.uniform(1.0, 5.0))
            for upstream in affected:
                upstream.set(rejected=0.0)
            await curio.sleep(random.uniform(0.0, 4.0))

    async def change_departures(self, until: float) -> None:
        """Let random upstreams say that they leave; they end, or start again under their id."""
        random = Random(self.seed + 2)
        await curio.sleep(self.quiet_seconds)
        while self.now() < until:
            await curio.sleep(random.uniform(1.0, 6.0))
            upstreams = self.service_upstreams()
            if len(upstreams) <= MIN_READS:
                await self.deployment.add_upstream(upstreams[0].service)
                continue
            upstream = upstreams[0]
            upstream.set(leaving="1")
            await curio.sleep(random.uniform(1.0, MAX_LEAVING_SECONDS))
            if random.random() < 0.5:
                await self.deployment.restart_upstream(upstream, 0.2)
            else:
                await self.deployment.remove_upstream(upstream.id)
