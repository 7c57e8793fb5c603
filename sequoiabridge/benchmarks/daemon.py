"""What an idle daemon costs in a fleet: CPU, memory and bytes a second, against their bounds.

Starts real daemons and the stand-in platform as processes over loopback, applies a configuration of
the given size and watches them from outside while no call comes in. Nothing listens at the
upstreams' addresses; nothing is sent there. Run by `make bench-daemon`.
"""

import cProfile
import json
import logging
import pstats
import re
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import curio
import defopt

from ..config.ini import write_sections
from .configuration import content
from .processes import Trial
from .scene import PLATFORM, Daemon, Scene, control

CPU_BOUND = 1.8
"""Percent of a core that control may take."""
MEMORY_BOUND = 128.0
"""MB that a daemon may hold."""
BYTES_BOUND = 3000.0
"""Bytes a second that a daemon may send to the others."""

SETTLE = 15.0
"""Seconds from ready to the beginning of the measurement."""

SIZES = ((6, 14), (170, 5600))
"""Services and upstreams: those of the demo, and those of the two-year plan."""

PROFILE_ROWS = 30


class IdleScene(Scene):
    """Daemons and platform without upstreams, under a configuration of a given size."""

    def __init__(self, trial: Trial, daemons: int, services: int, upstreams: int, **platform):
        super().__init__(trial, daemons)
        self.services = services
        self.upstream_count = upstreams
        self.platform_options = [f"--{name}={value}" for name, value in platform.items()]

    def start(self) -> None:
        """Start the platform and the daemons, apply the configuration, wait until ready."""
        vms = [f"--vm={d.name}={d.fleet}=dc-1" for d in self.daemons]
        options = ["--address=127.0.0.1:0", *self.platform_options, *vms]
        self.platform = self.trial.start("platform", PLATFORM, *options).wait_ready()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        self.wait_for("/live", self.daemons)
        self.apply(self.configuration())
        self.wait_ready(self.daemons)

    def configuration(self) -> Path:
        """Write the fleet's configuration as an INI file."""
        entries = content(self.services, self.upstream_count).entries
        sections = {f"{entry.kind} {entry.name}": entry.options for entry in entries}
        path = self.trial.folder / "fleet.ini"
        path.write_text(write_sections(sections), encoding="utf-8")
        return path


class Reading:
    """What one daemon has used until a moment, as the kernel and its state dump say.

    Attributes:
        cpu: Seconds on a core.
        memory: MB held now.
        sent: Bytes sent to other daemons by the fleet's own count.
        kernel: Bytes sent on the fleet's connections that are open now, as the kernel counts.
    """

    __slots__ = ("at", "cpu", "memory", "sent", "kernel", "live")

    def __init__(self, daemon: Daemon, token: str):
        pid = daemon.process.child.pid
        fleet = dump(daemon, token, "fleet")
        self.at = time.monotonic()
        self.cpu = cpu_seconds(pid)
        self.memory = memory_mb(pid)
        self.sent = fleet["counters"]["bytes_sent"]
        self.live = fleet["live"]
        self.kernel = kernel_bytes(pid, {member["address"] for member in fleet["members"]})


class Cost:
    """What one daemon took between two readings."""

    __slots__ = ("cpu", "memory", "sent", "kernel", "live")

    def __init__(self, before: Reading, after: Reading):
        seconds = after.at - before.at
        self.cpu = (after.cpu - before.cpu) / seconds * 100
        self.memory = after.memory
        self.sent = (after.sent - before.sent) / seconds
        self.kernel = (after.kernel - before.kernel) / seconds
        self.live = after.live


def dump(daemon: Daemon, token: str, part: str) -> dict:
    """Return one part of a daemon's state dump."""
    request = urllib.request.Request(f"http://{daemon.admin}/dump?part={part}")
    request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=5.0) as answer:
        return json.load(answer)["parts"][part]


def cpu_seconds(pid: int) -> float:
    """Return the seconds that a process has spent on a core."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def kernel_bytes(pid: int, fleet: set[str]) -> int:
    """Return the payload bytes that a process sent on its open connections of the fleet.

    Either end of such a connection has a fleet address. 0 where `ss` is not installed.
    """
    try:
        done = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, timeout=10)
    except OSError:
        return 0
    total = 0
    lines = done.stdout.splitlines()
    for head, info in zip(lines[::2], lines[1::2], strict=False):
        if f"pid={pid}," in head and fleet & set(head.split()):
            found = re.search(r"bytes_sent:(\d+)", info)
            total += int(found[1]) if found else 0
    return total


def measure(scene: Scene, seconds: float) -> list[Cost]:
    """Read all daemons, wait, and read them again."""
    before = [Reading(daemon, scene.token) for daemon in scene.daemons]
    time.sleep(seconds)
    after = [Reading(daemon, scene.token) for daemon in scene.daemons]
    return [Cost(*pair) for pair in zip(before, after, strict=True)]


def asked_of_store(scene: Scene) -> int:
    """Return how many reads and writes the platform has let pass for the whole fleet."""
    counts = control(scene.platform.ready["address"], "/control")
    return counts["reads"]["passed"] + counts["writes"]["passed"]


def spread(values: list[float]) -> str:
    """Return mean and largest of a list."""
    return f"{sum(values) / len(values):9.2f} {max(values):9.2f}"


def run_size(daemons: int, services: int, upstreams: int, seconds: float) -> list[Cost]:
    """Measure one size and print its row."""
    with Trial() as trial:
        scene = IdleScene(trial, daemons, services, upstreams)
        scene.start()
        time.sleep(SETTLE)
        asked = asked_of_store(scene)
        costs = measure(scene, seconds)
        per_second = (asked_of_store(scene) - asked) / seconds
    columns = [[getattr(c, name) for c in costs] for name in ("cpu", "memory", "sent", "kernel")]
    cells = "  ".join(spread(column) for column in columns)
    live = min(cost.live for cost in costs)
    print(f"{services:8d} {upstreams:9d} {live:4d}  {cells}  {per_second:9.1f}", flush=True)
    return costs


def last_line(costs: list[Cost]) -> str:
    """Return the figures of the daemon that took most against their bounds."""
    cpu, memory = max(c.cpu for c in costs), max(c.memory for c in costs)
    sent = max(max(c.sent, c.kernel) for c in costs)
    met = cpu <= CPU_BOUND and memory <= MEMORY_BOUND and sent <= BYTES_BOUND
    return (
        f"idle daemon, most of the fleet: cpu {cpu:.2f} of {CPU_BOUND}%, memory {memory:.0f} of "
        f"{MEMORY_BOUND:.0f} MB, sent {sent:.0f} of {BYTES_BOUND:.0f} bytes/s: "
        f"{'met' if met else 'NOT met'}"
    )


def profile(daemons: int, services: int, upstreams: int, seconds: float) -> None:
    """Run one daemon of the fleet under cProfile in a process of its own and print its profile."""
    with Trial() as trial:
        scene = IdleScene(trial, daemons, services, upstreams)
        scene.start()
        watched = scene.daemons[-1]
        watched.process.kill()
        time.sleep(SETTLE)
        command = [
            sys.executable,
            "-m",
            "sequoiabridge.benchmarks.daemon",
            "--profiled",
            str(watched.settings),
        ]
        command.append(f"--seconds={seconds}")
        done = subprocess.run(command, capture_output=True, text=True, timeout=seconds + 120)
        print(done.stdout, done.stderr[-2000:])


def run_profiled(settings: Path, seconds: float) -> None:
    """Run a daemon in this process and profile it for a while after it has settled."""
    from ..config.settings import Settings
    from ..daemon import Daemon as RealDaemon

    logging.disable()
    profiler = cProfile.Profile()

    async def watch() -> None:
        await curio.spawn(RealDaemon(Settings.load(settings).ok).run, daemon=True)
        await curio.sleep(SETTLE)
        before = time.process_time()
        profiler.enable()
        await curio.sleep(seconds)
        profiler.disable()
        print(f"CPU under the profiler {(time.process_time() - before) / seconds * 100:.2f}%")

    curio.run(watch)
    pstats.Stats(profiler).sort_stats("cumulative").print_stats(PROFILE_ROWS)


def run(
    *,
    daemons: int = 18,
    seconds: float = 20.0,
    services: int = 0,
    upstreams: int = 0,
    profiled: Path | None = None,
    profiling: bool = False,
) -> None:
    """Measure idle daemons; the last line has the figures of the largest configuration.

    :param daemons: daemons of the fleet
    :param seconds: seconds over which they are watched
    :param services: services of the configuration; 0 measures the demo's and the two-year size
    :param upstreams: upstreams of the configuration
    :param profiled: run the daemon of this settings file in this process under the profiler
    :param profiling: print a profile of one daemon of the fleet in place of the figures
    """
    if profiled is not None:
        run_profiled(profiled, seconds)
        return
    sizes = ((services, upstreams),) if services else SIZES
    if profiling:
        profile(daemons, *sizes[-1], seconds)
        return
    print(f"{daemons} daemons over loopback, no calls, {seconds:g} s; mean and most of the fleet")
    print("services upstreams live         CPU %               MB              bytes/s", end="")
    print("             kernel's    store/s")
    for size in sizes:
        costs = run_size(daemons, *size, seconds)
    print(last_line(costs))


if __name__ == "__main__":
    defopt.run(run, no_negated_flags=True)
