"""Soak runs in which daemons lose their paths to upstreams, peers or the store, beside faults."""

import signal
from enum import Enum
from random import Random

import curio

from ..ports import free_port
from .crash_soak import CRASH_PATH
from .deployment import Daemon
from .faulty_gateway import SILENCE_AT
from .path_proxy import CUTS, PathState, full_listener
from .paths import Cut, compared_calls
from .proxy import LinkFault
from .record import APPROVE, READ, UPLOAD
from .soak import MEAN_CALL_INTERVAL, Soak

SILENT_HOST = "127.0.9.2"
"""Host at which nothing answers, in place of unreachable peers."""

CRASH_INTERVAL = 0.25
"""Seconds between two requests that crash upstreams."""

BACK_AFTER = 1.0
"""Seconds after which an upstream that crashed is back."""

QUIET_SECONDS = 2.0
"""Seconds without faults at the start."""

CUT_SECONDS = 9.0
"""Seconds for which daemons have no paths in the fixed scenarios."""

POLL_INTERVAL = 0.05
"""Seconds between checks whether upstreams have ended."""

MIN_CUT_SECONDS, MAX_CUT_SECONDS = 4.0, 9.0
MAX_PAUSE_SECONDS = 3.0
"""Bounds of the cuts, and of the pauses between them, in the random scenario."""


class PathScenario(Enum):
    """Which paths are lost, and what else happens.

    Attributes:
        RANDOM: Cuts of any daemons in any way, beside other faults.
        SOME: Some daemons lose all paths, in the given way.
        ALL: All daemons do.
        STARTS: Daemons start while they have no paths.
        SERVICE: Some daemons lose their paths to the upstreams of one service.
        KILLS: The others are killed in turn meanwhile.
        STORE: The store falls silent for all meanwhile.
        DATA_CENTRE: All daemons of one data centre lose all paths.
        SERIES: Some daemons lose all paths, then some others.
        STOPS: The others are stopped gracefully in turn meanwhile.
        RESTS: Some upstreams reject calls and ask for rests meanwhile.
        LIMITS: Some upstreams name limits meanwhile.
        CRASHES: Requests that crash upstreams come meanwhile, at all daemons.
        DOWN: No path is lost; all upstreams of one service end, and start again at the end.
    """

    RANDOM = "random"
    SOME = "some"
    ALL = "all"
    STARTS = "starts"
    SERVICE = "service"
    KILLS = "kills"
    STORE = "store"
    DATA_CENTRE = "data-centre"
    SERIES = "series"
    STOPS = "stops"
    RESTS = "rests"
    LIMITS = "limits"
    CRASHES = "crashes"
    DOWN = "down"


class PathSoak(Soak):
    """One run in which daemons lose paths.

    Args:
        scenario: Which paths are lost.
        state: How they are lost; drawn for each cut if None.
        count: Number of daemons that lose them in the fixed scenarios.
        load: Calls of each caller, as a multiple of the usual number.
    """

    callers_per_daemon = 3
    call_kinds = ((READ, 0.6), (APPROVE, 0.3), (UPLOAD, 0.1))
    mean_fault_interval = 1.5

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        scenario: PathScenario = PathScenario.RANDOM,
        state: PathState | None = None,
        count: int = 2,
        reads: int = 8,
        load: float = 1.0,
    ):
        super().__init__(seed, seconds, daemons)
        self.mean_call_interval = MEAN_CALL_INTERVAL / load
        self.scenario = scenario
        self.state = state
        self.count = count
        self.draw = Random(seed)
        self.loops: list[curio.Task] = []
        record = self.deployment.record
        record.checks_paths = True
        record.daemons = frozenset(f"vm-{number}" for number in range(daemons))
        self.deployment.upstream_counts = {"reads": reads, "approvals": 4}
        self.deployment.uses_paths = True
        silent_port = free_port()
        self.silent_sockets = full_listener(SILENT_HOST, silent_port)
        self.deployment.daemon_options = [f"{SILENCE_AT}{SILENT_HOST}:{silent_port}"]
        self.deployment.daemon_module = "sequoiabridge.tests.platform.soak.faulty_gateway"

    def limit_summary(self) -> str:
        """Return how callers were served in each cut."""
        record = self.deployment.record
        lines = []
        for cut in record.cuts:
            cut_off, others = compared_calls(record, cut)
            lines.append(f"{cut}: {cut_off} served there, {others} at the others")
        return "; ".join(lines)

    async def inject_faults(self, until: float) -> None:
        """Run the scenario until `until`."""
        self.loops.append(await curio.spawn(self.record_ends))
        await curio.sleep(QUIET_SECONDS)
        if self.scenario is PathScenario.RANDOM:
            cuts = await curio.spawn(self.cut_in_series, until)
            await super().inject_faults(until)
            await cuts.join()
            return
        if self.scenario is PathScenario.DOWN:
            await self.end_service("approvals", CUT_SECONDS)
            return
        cut_off = self.chosen_daemons()
        beside = await self.start_beside(cut_off)
        await self.cut(cut_off, self.state, CUT_SECONDS)
        if self.scenario is PathScenario.SERIES:
            others = [daemon for daemon in self.deployment.daemons if daemon not in cut_off]
            await self.cut(others[: self.count], self.state, CUT_SECONDS)
        for task in beside:
            await task.join()

    def chosen_daemons(self) -> list[Daemon]:
        """Return the daemons that lose their paths first in a fixed scenario."""
        daemons = self.deployment.daemons
        if self.scenario is PathScenario.ALL:
            return daemons
        if self.scenario is PathScenario.DATA_CENTRE:
            return daemons[::2]
        return daemons[: self.count]

    async def start_beside(self, cut_off: list[Daemon]) -> list[curio.Task]:
        """Start what happens beside a cut in a fixed scenario."""
        others = [daemon for daemon in self.deployment.daemons if daemon not in cut_off]
        if self.scenario is PathScenario.KILLS:
            return [await curio.spawn(self.kill_in_turn, others)]
        if self.scenario is PathScenario.STORE:
            return [await curio.spawn(self.silence_store, CUT_SECONDS)]
        if self.scenario is PathScenario.STOPS:
            return [await curio.spawn(self.stop_in_turn, others)]
        if self.scenario is PathScenario.CRASHES:
            return [await curio.spawn(self.crash_upstreams, CUT_SECONDS)]
        upstreams = list(self.deployment.upstreams.values())[::3]
        if self.scenario is PathScenario.RESTS:
            return [await curio.spawn(self.change_some, upstreams, {"rest": "1", "rejected": 0.3})]
        if self.scenario is PathScenario.LIMITS:
            return [await curio.spawn(self.change_some, upstreams, {"limit": "5"})]
        if self.scenario is PathScenario.STARTS:
            for daemon in cut_off:
                self.kill(daemon)
        return []

    async def cut_in_series(self, until: float) -> None:
        """Cut random daemons off again and again, in random ways."""
        daemons = self.deployment.daemons
        while self.now() + MIN_CUT_SECONDS < until:
            seconds = self.draw.uniform(MIN_CUT_SECONDS, MAX_CUT_SECONDS)
            seconds = min(seconds, until - self.now())
            count = self.draw.randint(1, len(daemons))
            await self.cut(self.draw.sample(daemons, count), self.draw.choice(CUTS), seconds)
            await curio.sleep(self.draw.uniform(0.0, MAX_PAUSE_SECONDS))

    async def cut(self, daemons: list[Daemon], state: PathState | None, seconds: float) -> None:
        """Cut daemons off from all upstreams, or from those of one service, for some seconds."""
        service = "reads" if self.scenario is PathScenario.SERVICE else ""
        state = state or self.draw.choice(CUTS)
        cut = Cut(self.now(), frozenset(daemon.name for daemon in daemons))
        self.deployment.record.cuts.append(cut)
        for daemon in daemons:
            self.set_paths(daemon, state, service)
        await curio.sleep(seconds)
        cut.end = self.now()
        for daemon in daemons:
            self.set_paths(daemon, PathState.OPEN, service)

    def set_paths(self, daemon: Daemon, state: PathState, service: str = "") -> None:
        """Set the state of a daemon's paths to the upstreams of a service, or to all."""
        for id, path in list(daemon.paths.items()):
            if id.startswith(service):
                path.set_state(state, "cut")

    def fault_kinds(self) -> list:
        """Return the faults and planned operations to choose from."""
        return [
            self.stop_daemon,
            self.kill_daemon,
            self.pause_daemon,
            self.change_configuration,
            self.cut_one_path,
            self.cut_one_path,
            self.cut_peers,
            self.cut_peers,
            self.lose_datagrams,
            self.disturb_store_link,
            self.inject_store_fault,
            self.restart_upstream,
            self.inject_upstream_fault,
        ]

    async def cut_one_path(self, seconds: float) -> None:
        """Cut the path from one daemon to one upstream."""
        daemon = self.random.choice(self.deployment.daemons)
        path = daemon.paths[self.random.choice(list(daemon.paths))]
        self.record_fault(seconds, f"path of {daemon.name}")
        path.set_state(self.random.choice(CUTS), "single")
        await curio.sleep(seconds)
        path.set_state(PathState.OPEN, "single")

    async def cut_peers(self, seconds: float) -> None:
        """Let nothing pass between two daemons, in one direction or in both."""
        pair = self.random.sample(self.deployment.daemons, 2)
        one_way = self.random.random() < 0.5
        names = (pair[0].name, pair[1].name)
        until = self.now() + 3 * seconds
        self.deployment.record.peer_cuts.append((self.now(), until, names))
        for daemon, other in zip(pair, reversed(pair), strict=True):
            daemon.set_unreachable([other.peer_address, other.operators_address])
            if one_way:
                break
        await curio.sleep(3 * seconds)
        for daemon in pair:
            daemon.set_unreachable([])

    async def restart_upstream(self, seconds: float) -> None:
        """Kill an upstream and start it again under its id."""
        upstream = self.random.choice(list(self.deployment.upstreams.values()))
        self.record_fault(seconds + 2.0, f"restart {upstream.id}")
        await self.deployment.restart_upstream(upstream, seconds)

    async def kill_in_turn(self, daemons: list[Daemon]) -> None:
        """Kill one daemon after the other."""
        for daemon in daemons:
            await curio.sleep(CUT_SECONDS / (len(daemons) + 1))
            self.kill(daemon)

    async def stop_in_turn(self, daemons: list[Daemon]) -> None:
        """Stop one daemon after the other gracefully."""
        for daemon in daemons:
            await curio.sleep(CUT_SECONDS / (len(daemons) + 1))
            self.deployment.record.stops.append((self.now(), daemon.name))
            daemon.signal(signal.SIGTERM)

    async def change_some(self, upstreams: list, values: dict) -> None:
        """Let some upstreams reject calls, or name limits."""
        for upstream in upstreams:
            upstream.set(**values)
        await curio.sleep(CUT_SECONDS)
        for upstream in upstreams:
            upstream.set(rejected=0.0, limit="")

    async def crash_upstreams(self, seconds: float) -> None:
        """Send a request that crashes upstreams to random daemons; start the upstreams again."""
        end = self.now() + seconds
        faults = {"crash_path": CRASH_PATH, "crash_delay": 0.05}
        self.deployment.restart_faults = faults
        for upstream in self.deployment.upstreams.values():
            upstream.set(**faults)
        while self.now() < end:
            daemon = self.random.choice(self.deployment.daemons)
            connection = await self.open_connection(daemon)
            if connection is not None:
                await self.call_target(connection, daemon, READ, f"{CRASH_PATH}-0")
                await connection.sock.close()
            for upstream in list(self.deployment.upstreams.values()):
                if not upstream.find_target() and not upstream.is_restarting:
                    self.loops.append(
                        await curio.spawn(self.deployment.restart_upstream, upstream, BACK_AFTER)
                    )
            await curio.sleep(CRASH_INTERVAL)

    async def end_service(self, service: str, seconds: float) -> None:
        """End all upstreams of a service at one moment; start them again after some seconds."""
        upstreams = [u for u in self.deployment.upstreams.values() if u.service == service]
        self.record_fault(seconds + 3.0, f"end of {service}")
        restarts = [
            await curio.spawn(self.deployment.restart_upstream, upstream, seconds)
            for upstream in upstreams
        ]
        for restart in restarts:
            await restart.join()

    async def silence_store(self, seconds: float) -> None:
        """Let the store fall silent for all daemons."""
        self.record_fault(seconds + 3.0, "silent store")
        for daemon in self.deployment.daemons:
            daemon.store.set_fault(LinkFault.BLACKHOLE)
        await curio.sleep(seconds)
        for daemon in self.deployment.daemons:
            # Data was dropped meanwhile, so the open connections cannot be used any more.
            daemon.store.set_fault(LinkFault.RESET)
            daemon.store.set_fault(LinkFault.NONE)

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon and record that."""
        super().kill(daemon)
        self.deployment.record_disturbance(daemon, 0.0)

    async def record_ends(self) -> None:
        """Record the ends of upstreams."""
        running = set()
        while True:
            alive = {u for u in self.deployment.started_upstreams if u.find_target()}
            for upstream in running - alive:
                self.deployment.record.upstream_ends.append((self.now(), upstream.id))
            running = alive
            await curio.sleep(POLL_INTERVAL)

    async def end_tasks(self) -> None:
        """End the tasks that run until the end."""
        for task in self.loops:
            await task.cancel()
        for sock in self.silent_sockets:
            sock.close()
