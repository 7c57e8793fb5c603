"""Soak runs that press on the retry limit while processes stop, continue, end and start again."""

import signal
from enum import Enum
from random import Random

import curio

from ..environment import CALLER_IDLE_TIMEOUT, Connection
from .deployment import Daemon
from .record import APPROVE, MARK, READ
from .soak import READY_POLL_INTERVAL, Soak

SERVICE = "reads"
"""The service whose upstreams fail."""

RETRY_SLACK_PER_DAEMON = 2.5
"""Fixed part of the retry limit for each daemon, as in large fleets."""

QUIET_SECONDS = 11.0
"""Seconds without faults at the start, in which daemons save up allowance for retries."""

MIN_PRESSURE, MAX_PRESSURE = 0.3, 0.9
"""Bounds on the share of calls that upstreams fail while they fail."""

MAX_PRESSURE_SECONDS, MAX_PAUSE_SECONDS = 8.0, 4.0
"""Maximum seconds for which upstreams fail, and between two such times."""

KILL_INTERVAL = 2.5
"""Seconds between two kills of all daemons; a daemon serves again about a second after one."""

MAX_UPSTREAM_STOP = 9.0
"""Maximum seconds for which upstreams are stopped; close to the window of the retry limit."""


LONG_STOP = 22.0
"""Seconds for which upstreams are stopped when their daemons are killed meanwhile; over a window
longer than `MAX_UPSTREAM_STOP`."""


MAX_REUSE_IDLE = 0.8 * CALLER_IDLE_TIMEOUT
"""Seconds for which callers keep an idle connection, as those on the platform do."""


class Scenario(Enum):
    """What happens while upstreams fail; `RANDOM` mixes everything in series."""

    RANDOM = "random"
    RESTARTS = "restarts"
    STOPPED_UPSTREAMS = "stopped-upstreams"
    RESTARTS_AT_STOPPED_UPSTREAMS = "restarts-at-stopped-upstreams"


class RetrySoak(Soak):
    """One run in which upstreams of one service fail while processes are disturbed.

    Args:
        scenario: Which processes are disturbed.
        reads: Number of upstreams of the service.
        call_rate: Calls per second to all daemons together, whether they are answered or not.

    Attributes:
        idle_connections: Connections of callers that can be used again, by daemon, each with the
            time of its latest answer.
        quiet_seconds: Seconds without faults at the start.
        ready_daemons: Daemons that answered their latest readiness check.
    """

    callers_per_daemon = 1
    mean_fault_interval = 1.0
    call_kinds = ((READ, 0.85), (APPROVE, 0.1), (MARK, 0.05))

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        scenario: Scenario = Scenario.RANDOM,
        reads: int = 5,
        call_rate: float = 60.0,
    ):
        super().__init__(seed, seconds, daemons)
        self.scenario = scenario
        self.quiet_seconds = QUIET_SECONDS
        self.call_interval = daemons / call_rate
        self.idle_connections: dict[str, list[tuple[float, Connection]]] = {}
        self.ready_daemons: set[Daemon] = set()
        self.deployment.retry_slack = RETRY_SLACK_PER_DAEMON * daemons
        self.deployment.upstream_counts = {SERVICE: reads, "approvals": 3}

    async def run_caller(self, daemon: Daemon, random: Random) -> None:
        """Send calls at a constant mean rate.

        Open connections are used until the daemon has ended; new ones go to another daemon while
        this one is not ready.
        """
        watcher = await curio.spawn(self.watch_readiness, daemon)
        calls = curio.TaskGroup(wait=all)
        while not self.stopping:
            await curio.sleep(random.expovariate(1 / self.call_interval))
            await calls.spawn(self.make_call, self.choose_daemon(daemon, random), random)
        await calls.join()
        await watcher.cancel()

    def choose_daemon(self, daemon: Daemon, random: Random) -> Daemon:
        """Return `daemon` if it can be called, else a random one that is ready, if any is."""
        if self.usable_connections(daemon) or daemon in self.ready_daemons:
            return daemon
        ready = sorted(self.ready_daemons, key=lambda one: one.name)
        return random.choice(ready) if ready else daemon

    def usable_connections(self, daemon: Daemon) -> list[tuple[float, Connection]]:
        """Return the connections to a daemon that can be used again; forget those idle for long."""
        oldest = self.now() - MAX_REUSE_IDLE
        idle = [one for one in self.idle_connections.get(daemon.name, []) if one[0] > oldest]
        self.idle_connections[daemon.name] = idle
        return idle

    async def watch_readiness(self, daemon: Daemon) -> None:
        """Check a daemon's readiness regularly, as the platform's balancer does."""
        while True:
            if await self.deployment.is_ready(daemon):
                self.ready_daemons.add(daemon)
            else:
                self.ready_daemons.discard(daemon)
            await curio.sleep(READY_POLL_INTERVAL)

    async def make_call(self, daemon: Daemon, random: Random) -> None:
        """Make one call on an idle connection, or on a new one."""
        idle = self.usable_connections(daemon)
        connection = idle.pop()[1] if idle else await self.open_connection(daemon)
        if connection is None:
            return
        if await self.call(connection, daemon, random):
            self.idle_connections[daemon.name].append((self.now(), connection))
        else:
            await connection.sock.close()

    async def inject_faults(self, until: float) -> None:
        """Wait while the daemons save up allowance, then run the scenario until `until`."""
        await curio.sleep(self.quiet_seconds)
        if self.scenario is Scenario.RESTARTS:
            await self.restart_under_pressure(until)
        elif self.scenario is Scenario.STOPPED_UPSTREAMS:
            await self.stop_upstreams_under_pressure(until)
        elif self.scenario is Scenario.RESTARTS_AT_STOPPED_UPSTREAMS:
            await self.restart_at_stopped_upstreams(until)
        else:
            pressure = await curio.spawn(self.press_in_series, until)
            await super().inject_faults(until)
            await pressure.join()

    def fault_kinds(self) -> list:
        """Return the faults and planned operations to choose from; some stand twice."""
        return [
            self.kill_daemons,
            self.pause_daemon,
            self.stop_daemon,
            self.stop_some_upstreams,
            self.stop_some_upstreams,
            self.restart_upstream,
            self.disturb_upstream_link,
            self.change_configuration,
        ]

    async def restart_under_pressure(self, until: float) -> None:
        """Let upstreams fail, and kill all daemons whenever they have spent their allowance."""
        failing = await curio.spawn(self.fail_upstreams, until - self.now(), MAX_PRESSURE)
        while self.now() + KILL_INTERVAL < until:
            await curio.sleep(KILL_INTERVAL)
            self.signal_daemons(self.deployment.daemons, signal.SIGKILL)
        await failing.join()

    async def stop_upstreams_under_pressure(self, until: float) -> None:
        """Stop all upstreams of the service for most of a window; let them fail afterwards."""
        await self.stop_upstreams(self.service_upstreams(), MAX_UPSTREAM_STOP)
        await self.fail_upstreams(until - self.now(), MAX_PRESSURE)

    async def restart_at_stopped_upstreams(self, until: float) -> None:
        """Kill all daemons while upstreams are stopped, which continue over a window later."""
        stop = await curio.spawn(self.stop_upstreams, self.service_upstreams(), LONG_STOP)
        await curio.sleep(MAX_UPSTREAM_STOP)
        self.signal_daemons(self.deployment.daemons, signal.SIGKILL)
        await stop.join()
        await self.fail_upstreams(until - self.now(), MAX_PRESSURE)

    def service_upstreams(self) -> list:
        """Return the upstreams of the service, in random order."""
        upstreams = [u for u in self.deployment.upstreams.values() if u.service == SERVICE]
        self.random.shuffle(upstreams)
        return upstreams

    async def press_in_series(self, until: float) -> None:
        """Let upstreams fail again and again, with pauses in which daemons save up allowance."""
        random = Random(self.seed)
        while self.now() < until:
            seconds = min(random.uniform(2.0, MAX_PRESSURE_SECONDS), until - self.now())
            await self.fail_upstreams(seconds, random.uniform(MIN_PRESSURE, MAX_PRESSURE))
            await curio.sleep(random.uniform(0.0, MAX_PAUSE_SECONDS))

    async def fail_upstreams(self, seconds: float, share: float) -> None:
        """Let all upstreams of the service fail a share of the calls."""
        fault = self.random.choice(("fail", "reset", "lose"))
        self.record_fault(seconds, f"{fault} {share:.2f}")
        upstreams = self.service_upstreams()
        for upstream in upstreams:
            upstream.set(**{fault: share})
        await curio.sleep(seconds)
        for upstream in upstreams:
            upstream.set(**{fault: 0.0})

    def signal_daemons(self, daemons: list, number: int) -> None:
        """Signal daemons at the same moment."""
        for daemon in daemons:
            self.record_fault(3.0, f"signal {number} {daemon.name}")
            daemon.signal(number)

    async def kill_daemons(self, seconds: float) -> None:
        """Kill a share of the daemons, up to three times in a row."""
        for _ in range(self.random.choice((1, 2, 3))):
            count = self.random.randint(1, len(self.deployment.daemons))
            self.signal_daemons(self.random.sample(self.deployment.daemons, count), signal.SIGKILL)
            await curio.sleep(seconds)

    async def stop_some_upstreams(self, seconds: float) -> None:
        """Stop some upstreams of the service, for longer than other faults last."""
        upstreams = self.service_upstreams()
        count = self.random.randint(1, len(upstreams))
        seconds = self.random.uniform(0.5, MAX_UPSTREAM_STOP)
        await self.stop_upstreams(upstreams[:count], seconds)

    async def restart_upstream(self, seconds: float) -> None:
        """Kill an upstream and start it again under its id."""
        upstream = self.service_upstreams()[0]
        self.record_fault(seconds + 2.0, f"restart {upstream.id}")
        await self.deployment.restart_upstream(upstream, seconds)
