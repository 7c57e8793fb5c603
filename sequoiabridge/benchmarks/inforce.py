"""From acceptance to in force everywhere, judged from outside; and what gets in the way of it.

Watches the configuration part of every daemon's state dump over its admin port while commands are
given to daemons in turn. A change counts from the moment its command is sent, which is before its
acceptance, so the figures are upper bounds. Run by `make bench-config`.
"""

import http.client
import json
import os
import signal
import statistics
import threading
import time

import defopt

from ..commands.client import AdminClient
from ..exceptions import SequoiaError
from .daemon import IdleScene, dump
from .processes import Trial
from .scene import Daemon, control, healthy

POLL = 0.02
"""Seconds between two looks at one daemon."""
LIMIT = 20.0
"""Seconds after which a change counts as not in force."""
GOAL = 4000.0
"""Milliseconds from acceptance to in force everywhere."""
SERVICES, UPSTREAMS = 170, 5600
LARGE = 300
"""Upstreams that a large change adds: far more than a message between daemons holds."""
PAUSES = (3.0, 8.0)
"""Seconds for which a daemon is paused while changes are made."""
FROM_PEERS = 120.0
"""Seconds in which a daemon that starts while the store is down must be ready."""


class Watcher(threading.Thread):
    """Looks at the version in force at one daemon; `seen` has when each was first shown."""

    def __init__(self, daemon: Daemon, token: str):
        super().__init__(daemon=True)
        self.admin = daemon.admin
        self.headers = {"Authorization": f"Bearer {token}"}
        self.seen: dict[int, float] = {}
        self.newest = 0
        self.at = time.monotonic()
        self.gaps: list[float] = []
        self.older = 0
        self.ended = False

    def run(self) -> None:
        connection = http.client.HTTPConnection(self.admin, timeout=30.0)
        while not self.ended:
            try:
                self.look(connection)
            except (OSError, http.client.HTTPException, ValueError):
                connection.close()
            time.sleep(POLL)

    def look(self, connection: http.client.HTTPConnection) -> None:
        """Ask once."""
        connection.request("GET", "/dump?part=configuration", headers=self.headers)
        version = json.loads(connection.getresponse().read())["parts"]["configuration"]["version"]
        now = time.monotonic()
        self.gaps.append(now - self.at)
        self.at = now
        self.older += version < self.newest
        for between in range(self.newest + 1, version + 1):
            self.seen[between] = now
        self.newest = max(self.newest, version)


class Fleet:
    """Daemons under watch, and the commands that are given to them."""

    def __init__(self, scene: IdleScene):
        self.scene = scene
        self.watchers = [Watcher(daemon, scene.token) for daemon in scene.daemons]
        for watcher in self.watchers:
            watcher.start()
        self.turn = self.drains = 0

    def client(self) -> AdminClient:
        """Return a client of the daemon whose turn it is."""
        self.turn += 1
        daemon = self.scene.daemons[self.turn % len(self.scene.daemons)]
        return AdminClient(daemon.admin, self.scene.token, 30.0)

    def small(self) -> int:
        """Drain or resume an upstream; return the accepted version."""
        number, back = divmod(self.drains, 2)
        self.drains += 1
        number %= self.scene.upstream_count
        command = f"{'resume' if back else 'drain'} upstream upstream-{number}"
        return self.client().post("ask", body=command)["version"]

    def large(self) -> int:
        """Add many upstreams at once; return the accepted version."""
        text = self.scene.trial.folder.joinpath("fleet.ini").read_text()
        for number in range(LARGE):
            name = f"more-{self.turn}-{number}"
            address = f"10.9.{self.turn % 250}.{number % 250}:{9000 + number}"
            text += f"\n[upstream {name}]\npool = pool-1\naddress = {address}\n"
        return self.client().post("apply", body=text)["version"]

    def in_force(self, version: int, start: float, limit: float = LIMIT) -> float:
        """Wait until a version is in force everywhere; return the ms since `start`."""
        while any(watcher.newest < version for watcher in self.watchers):
            if time.monotonic() - start > limit:
                return limit * 1000
            time.sleep(0.005)
        return (max(w.seen[version] for w in self.watchers) - start) * 1000

    def store(self, **faults) -> None:
        """Switch faults of the stand-in platform."""
        control(self.scene.platform.ready["address"], "/control", faults)


def figures(times: list[float]) -> str:
    """Return percentiles of a list of milliseconds."""
    ordered = sorted(times)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"p50 {statistics.median(ordered):.0f} p99 {p99:.0f} max {ordered[-1]:.0f} ms"


def with_store_up(fleet: Fleet, count: int, change) -> list[float]:
    """Make changes one after the other; return the ms to in force everywhere of each."""
    times = []
    for _ in range(count):
        start = time.monotonic()
        times.append(fleet.in_force(change(), start))
    return times


def with_store_lost(fleet: Fleet, count: int, change) -> list[float]:
    """Make changes; the store is down from the commit of each until it is in force."""
    times = []
    for _ in range(count):
        start = time.monotonic()
        fleet.store(down_after=1)
        try:
            version = change()
            times.append(fleet.in_force(version, start))
        except SequoiaError as error:
            print(f"  not accepted: {error}")
            times.append(LIMIT * 1000)
        fleet.store(down=False, down_after=0)
        wait_store(fleet)
    return times


def wait_store(fleet: Fleet) -> None:
    """Wait until all daemons have noticed that the store is back."""
    end = time.monotonic() + LIMIT
    for daemon in fleet.scene.daemons:
        client = AdminClient(daemon.admin, fleet.scene.token, 30.0)
        while time.monotonic() < end and client.get("dump", part="store")["parts"]["store"]["down"]:
            time.sleep(0.05)


def paused(fleet: Fleet, seconds: float) -> None:
    """Pause a daemon while changes are made, and look what it says when it wakes up."""
    victim, watcher = fleet.scene.daemons[0], fleet.watchers[0]
    pid = victim.process.child.pid
    if (fleet.turn + 1) % len(fleet.watchers) == 0:
        fleet.small()  # Its turn is not while it is paused.
    os.kill(pid, signal.SIGSTOP)
    time.sleep(seconds - 1.0)
    version = fleet.small()
    time.sleep(1.0)
    start = time.monotonic()
    os.kill(pid, signal.SIGCONT)
    wrong = 0
    while watcher.newest < version and time.monotonic() - start < LIMIT:
        # The version is asked for after the health check: if it is older, so it was before.
        ready = healthy(victim, "/ready")
        wrong += ready and dump(victim, fleet.scene.token, "configuration")["version"] < version
        time.sleep(0.01)
    took = (watcher.seen.get(version, start + LIMIT) - start) * 1000
    print(f"paused {seconds:g} s: in force {took:.0f} ms after waking, ready before that {wrong}x")


def new_daemon(fleet: Fleet) -> None:
    """Start a daemon anew while the store is down: its peers must make it ready, none older."""
    victim = fleet.scene.daemons[-1]
    fleet.watchers[-1].ended = True
    victim.process.kill()
    newest = max(watcher.newest for watcher in fleet.watchers)
    fleet.store(down=True)
    time.sleep(1.0)
    fleet.scene.start_daemon(victim)
    fleet.scene.wait_for("/live", [victim])
    start, older = time.monotonic(), 0
    while not (ready := healthy(victim, "/ready")) and time.monotonic() - start < FROM_PEERS:
        older += 0 < dump(victim, fleet.scene.token, "configuration")["version"] < newest
        time.sleep(0.1)
    took = time.monotonic() - start
    found = dump(victim, fleet.scene.token, "configuration")
    fleet.store(down=False)
    print(f"started while the store is down: ready after {took:.1f} s: {'yes' if ready else 'no'}")
    print(f"  version {found['version']}, newest {newest}, older while not ready {older}x")
    print(f"  it says: {found['not_current_because'] or 'current'}")
    if ready and found["version"] != newest:
        raise RuntimeError(f"ready with version {found['version']}, not with {newest}")


def trial(fleet: Fleet, changes: int) -> list[float]:
    """Run all parts; return the times that the last line is about."""
    up = with_store_up(fleet, changes, fleet.small)
    print(f"store up, {changes} changes: {figures(up)}", flush=True)
    lost = with_store_lost(fleet, changes, fleet.small)
    print(f"store lost right after, {changes} changes: {figures(lost)}", flush=True)
    large = with_store_up(fleet, 5, fleet.large)
    print(f"{LARGE} upstreams in one change, store up, 5 changes: {figures(large)}", flush=True)
    cut = with_store_lost(fleet, 2, fleet.large)
    print(f"  store lost right after, and not back: {figures(cut)}", flush=True)
    for seconds in PAUSES:
        paused(fleet, seconds)
    new_daemon(fleet)
    return up + lost


def run(
    *,
    daemons: int = 18,
    changes: int = 50,
    services: int = SERVICES,
    upstreams: int = UPSTREAMS,
) -> None:
    """Measure; the last line has small changes with the store up and lost, together.

    :param daemons: daemons of the fleet
    :param changes: changes with the store up, and again with the store lost
    :param services: services of the configuration
    :param upstreams: upstreams of the configuration
    """
    with Trial() as processes:
        scene = IdleScene(processes, daemons, services, upstreams)
        scene.start()
        fleet = Fleet(scene)
        time.sleep(2.0)
        print(f"{daemons} daemons, {services} services, {upstreams} upstreams", flush=True)
        times = trial(fleet, changes)
        gaps = sorted(gap * 1000 for watcher in fleet.watchers for gap in watcher.gaps)
        middle, high = gaps[len(gaps) // 2], gaps[int(len(gaps) * 0.99)]
        print(f"each daemon was looked at every {middle:.0f} ms, p99 {high:.0f}")
        print(f"older versions seen after newer ones: {sum(w.older for w in fleet.watchers)}")
        for watcher in fleet.watchers:
            watcher.ended = True
    print(f"in force {figures(times)}")


if __name__ == "__main__":
    defopt.run(run)
