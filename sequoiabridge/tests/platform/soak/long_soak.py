"""A soak of long bodies, long answers, long work and bytes without end.

Some callers keep their connections idle for seconds and call on them again until the daemon has
closed them, also in planned stops.
"""

from enum import Enum
from random import Random

import curio

from ..environment import route
from ..floods import ANSWER_FLOODS, FORWARDED_FLOODS
from .deployment import Daemon
from .ends import GRACE
from .record import APPROVE, LONG, MARK, READ, UPLOAD
from .soak import LONG_TIMEOUT, Soak

LONG_UPLOAD_SHARE = 0.5
"""Share of uploads that are longer than what daemons buffer."""

LONG_UPLOAD_BYTES = (1_100_000, 2_500_000)
SHORT_UPLOAD_BYTES = (1_000, 90_000)
MAX_BODY_BYTES = 8_000_000
LONG_ANSWER_BYTES = (300_000, 900_000)

LONG_WORK = 2.8
"""Maximum seconds of work of a long call; with what is left of a stop, it fits no late call."""

IDLE_SECONDS = (0.2, 4.5)
"""Seconds for which a patient caller leaves its connection idle."""

IDLE_POLL_INTERVAL = 0.2
"""Seconds between two checks of a patient caller whether the run has ended."""

PATIENT_CALLERS = 14
"""Number of patient callers of each daemon."""

STOP_INTERVAL = (0.5, 2.0)
"""Seconds between two stops."""

DISTURB_SECONDS = 3.0

CALLER_PAUSE = 0.02
"""Seconds between two blocks of an answer without end that reaches its caller."""


class LongScenario(Enum):
    """What a soak of long calls plays."""

    RANDOM = "random"
    STOPS = "stops"
    RESETS = "resets"
    HANGS = "hangs"
    FLOODS = "floods"


class LongSoak(Soak):
    """One run with a fixed seed."""

    call_kinds = ((READ, 0.4), (APPROVE, 0.2), (UPLOAD, 0.3), (MARK, 0.1))

    def __init__(self, seed: int, seconds: float, daemons: int, scenario: LongScenario, reads: int):
        super().__init__(seed, seconds, daemons)
        self.scenario = scenario
        self.patient_callers: list[curio.Task] = []
        deployment = self.deployment
        deployment.uses_proxies = False
        deployment.upstream_counts = {"reads": reads, "approvals": 5}
        deployment.extra_routes = [
            route(f"/{LONG}/", "idempotent", "reads", timeout_s=LONG_TIMEOUT, target_latency_s=4.0)
        ]
        deployment.limits = {"max_body_bytes": MAX_BODY_BYTES}
        if scenario is LongScenario.RESETS:
            self.call_kinds = ((UPLOAD, 1.0),)
        deployment.record.checks_ends = True
        deployment.record.checks_late_calls = scenario is LongScenario.STOPS

    def body_of(self, kind: str) -> tuple[bytes, bool]:
        """Return a body of a random size, which may be sent in chunks."""
        if kind != UPLOAD:
            return super().body_of(kind)
        is_long = self.random.random() < LONG_UPLOAD_SHARE
        size = self.random.randint(*(LONG_UPLOAD_BYTES if is_long else SHORT_UPLOAD_BYTES))
        return b"u" * size, self.random.random() < 0.5

    async def inject_faults(self, until: float) -> None:
        """Start the patient callers, then inject the faults of the scenario."""
        for upstream in self.deployment.upstreams.values():
            upstream.set(long_work=LONG_WORK)
        if self.scenario in (LongScenario.RANDOM, LongScenario.STOPS):
            for daemon in self.deployment.daemons:
                for _ in range(PATIENT_CALLERS):
                    random = Random(self.random.random())
                    caller = await curio.spawn(self.run_patient_caller, daemon, random)
                    self.patient_callers.append(caller)
        if self.scenario is LongScenario.RANDOM:
            await super().inject_faults(until)
            return
        await curio.sleep(1.0)
        while self.now() < until:
            if self.scenario is LongScenario.STOPS:
                await self.stop_daemon(0.0)
                await curio.sleep(self.random.uniform(*STOP_INTERVAL))
            else:
                await self.disturb_upstreams(DISTURB_SECONDS, self.scenario)

    def fault_kinds(self) -> list:
        """Return the faults to choose from; some stand twice."""
        return [
            self.stop_daemon,
            self.stop_daemon,
            self.change_configuration,
            self.reload_settings,
            self.kill_daemon,
            self.pause_daemon,
            self.inject_upstream_fault,
            *[self.inject_long_fault] * 6,
        ]

    async def inject_long_fault(self, seconds: float) -> None:
        """Disturb the upstreams of one service in a way that strikes long calls."""
        scenarios = (LongScenario.RESETS, LongScenario.HANGS, LongScenario.FLOODS)
        await self.disturb_upstreams(seconds, self.random.choice(scenarios))

    async def disturb_upstreams(self, seconds: float, scenario: LongScenario) -> None:
        """Disturb the upstreams of one service for some seconds."""
        is_for_uploads = scenario is LongScenario.RESETS
        service = "approvals" if is_for_uploads else self.random.choice(("reads", "approvals"))
        faults = self.draw_faults(scenario)
        self.record_fault(seconds + 1.0, f"{scenario.value} {faults} at {service}")
        chosen = [u for u in self.deployment.upstreams.values() if u.service == service]
        for upstream in chosen:
            upstream.set(**faults)
        await curio.sleep(seconds)
        sound = {"answer_size": 0, "stalled": 0.0, "flood": "", "health_flood": ""}
        for upstream in chosen:
            upstream.set(reset_new=0.0, refusal_flood="", **sound)

    def draw_faults(self, scenario: LongScenario) -> dict:
        """Return random faults of upstreams."""
        size = self.random.randint(*LONG_ANSWER_BYTES)
        if scenario is LongScenario.RESETS:
            return {"reset_new": 0.4, "answer_size": size}
        if scenario is LongScenario.HANGS:
            return {"stalled": 0.4, "answer_size": size}
        place = self.random.choice(("flood", "flood", "health_flood", "refusal_flood"))
        share = self.random.uniform(0.05, 0.3)
        kind = self.random.choice(ANSWER_FLOODS)
        # What callers get must not keep the one process of all callers busy.
        pause = CALLER_PAUSE if kind in FORWARDED_FLOODS else 0.0
        return {place: kind, "flood_share": share, "flood_pause": pause}

    async def run_patient_caller(self, daemon: Daemon, random: Random) -> None:
        """Make long calls on connections that were idle before, until the run ends."""
        while not self.stopping:
            connection = await self.connect(daemon)
            if connection is None:
                continue
            is_kept = await self.call_target(connection, daemon, READ, f"/{READ}/x")
            while is_kept and not self.stopping:
                await self.stay_idle(random.uniform(*IDLE_SECONDS))
                kind = random.choice((LONG, READ))
                target = f"/{kind}/x"
                is_kept = await self.call_target(connection, daemon, kind, target, LONG_TIMEOUT)
            await connection.sock.close()

    async def stay_idle(self, seconds: float) -> None:
        """Wait, but not beyond the end of the run."""
        end = self.now() + seconds
        while self.now() < end and not self.stopping:
            await curio.sleep(max(0.0, min(IDLE_POLL_INTERVAL, end - self.now())))

    async def end_tasks(self) -> None:
        """Wait for the patient callers."""
        for caller in self.patient_callers:
            await caller.join()

    def check_recovery(self, end: float) -> list[str]:
        """Check the recovery, unless a stop that began late still goes on."""
        last_stop = max((at for at, _ in self.deployment.record.stops), default=0.0)
        return [] if last_stop + GRACE > end else super().check_recovery(end)
