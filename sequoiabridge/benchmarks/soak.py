"""`make soak`: a mixed load for two minutes, and a fault every second or so, over real processes.

Four daemons, the stand-in platform and the stand-in upstreams of six services. The oracle judges
from the upstreams' record and from what callers were told.
"""

import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import curio
import defopt
from curio import run_in_thread

from .load import Entries, Load, Summary
from .oracle import Evidence, Kind, Leaving, Promise, Told, judge
from .processes import Trial
from .scene import SERVICES, Daemon, Scene, control

DRAIN_LIMIT = 5.0
"""Seconds after which a leaving upstream must get no new work."""
AFTERMATH = 2.5
"""Seconds after a fault in which its refusals may still come: the breaker asks every 2 s."""
SETTLE_TIMEOUT = 60.0
"""Seconds after the load in which accepted uploads must have reached an upstream."""


class Trouble:
    """Makes faults happen, at most one at a time for each daemon and each pool."""

    def __init__(self, scene: Scene, load: Load, seed: int):
        self.scene = scene
        self.load = load
        self.random = Random(seed)
        self.busy: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.leaving: list[Leaving] = []
        self.spans: list[tuple[str, float, float]] = []
        self.incarnation = 1
        self.faults: dict[str, Callable[[], Awaitable[None]]] = {
            "upstream killed and started again": self.kill_upstream,
            "upstream paused": self.pause_upstream,
            "upstream drains and is replaced": self.drain_upstream,
            "upstream connections silent": self.silence_upstream,
            "upstream straggles": lambda: self.upstream_fault(slow=20.0),
            "upstream sheds": lambda: self.upstream_fault(shed=0.8),
            "upstream fails fast": lambda: self.upstream_fault(fail=0.8),
            "upstream answers late": lambda: self.upstream_fault(late_ms=3000.0),
            "upstream cuts answers": lambda: self.upstream_fault(cut=0.5),
            "upstream loses answers": lambda: self.upstream_fault(lost=0.5),
            "upstream lies": lambda: self.upstream_fault(lie_in_flight=0, slow=5.0),
            "daemon killed and replaced": self.kill_daemon,
            "daemon paused": self.pause_daemon,
            "daemon stopped and replaced": self.stop_daemon,
            "store down": lambda: self.store_fault(3.0, {"down": True}, {"down": False}),
            "store slow": lambda: self.store_fault(2.0, {"slow": 1.0}, {"slow": 0.0}),
            "store loses answers": lambda: self.store_fault(0.5, {"lose_answers": 3}, {}),
            "store loses writes": lambda: self.store_fault(0.5, {"lose_writes": 3}, {}),
            "store writes land late": lambda: self.store_fault(0.5, {"late": 2}, {}),
        }

    async def run(self, seconds: float, interval: float) -> None:
        """Make a fault happen each `interval` seconds on average."""
        end = time.monotonic() + seconds
        async with curio.TaskGroup() as group:
            while time.monotonic() < end:
                await curio.sleep(self.random.uniform(0.5, 1.5) * interval)
                name = self.random.choice(list(self.faults))
                await group.spawn(self.make, name)

    async def make(self, name: str) -> None:
        """Make one fault happen and mend it; what cannot happen now is passed over."""
        self.counts[name] += 1
        since = time.time()
        try:
            await self.faults[name]()
            self.spans.append((name, since, time.time()))
        except (OSError, RuntimeError) as error:
            self.counts[f"not made: {name}: {str(error)[:200]}"] += 1

    def free(self, names: list[str]) -> str | None:
        """Return one of `names` whose group has no fault now."""
        idle = [name for name in names if group_of(name) not in self.busy]
        return self.random.choice(idle) if idle else None

    async def upstream_fault(self, **fields) -> None:
        """Switch on a fault of one upstream for a few seconds."""
        name = self.free(list(self.scene.upstreams))
        if name is None:
            return
        off = {"slow": 1.0, "shed": 0, "fail": 0, "late_ms": 0, "cut": 0, "lost": 0}
        off["lie_in_flight"] = -1
        place = self.scene.upstreams[name].ready["control"]
        self.busy.add(group_of(name))
        await run_in_thread(control, place, "/faults", fields)
        await curio.sleep(self.random.uniform(1.0, 4.0))
        await run_in_thread(control, place, "/faults", off)
        self.busy.discard(group_of(name))

    async def kill_upstream(self) -> None:
        """Kill one upstream and start it again."""
        if (name := self.free(list(self.scene.upstreams))) is None:
            return
        self.busy.add(group_of(name))
        await run_in_thread(self.scene.upstreams[name].kill)
        await curio.sleep(self.random.uniform(0.5, 3.0))
        await run_in_thread(self.scene.restart_upstream(name).wait_ready)
        self.busy.discard(group_of(name))

    async def pause_upstream(self) -> None:
        """Stop the process of one upstream for some seconds."""
        if (name := self.free(list(self.scene.upstreams))) is None:
            return
        self.busy.add(group_of(name))
        process = self.scene.upstreams[name]
        process.signal(signal.SIGSTOP)
        await curio.sleep(self.random.uniform(0.5, 3.0))
        process.signal(signal.SIGCONT)
        self.busy.discard(group_of(name))

    async def silence_upstream(self) -> None:
        """Let all open connections of one upstream go silent for good."""
        if (name := self.free(list(self.scene.upstreams))) is not None:
            await run_in_thread(control, self.scene.upstreams[name].ready["control"], "/silence")

    async def drain_upstream(self) -> None:
        """Let one upstream leave, end it, start it again, and tell the operator's tool."""
        if (name := self.free(list(self.scene.upstreams))) is None:
            return
        self.busy.add(group_of(name))
        self.incarnation += 1
        place = self.scene.upstreams[name].ready["control"]
        await run_in_thread(control, place, "/faults", {"drain": self.incarnation})
        entry = Leaving(upstream=name, since=time.time(), limit=DRAIN_LIMIT)
        self.leaving.append(entry)
        await curio.sleep(DRAIN_LIMIT + 4.0)
        entry.until = time.time()
        await run_in_thread(self.scene.upstreams[name].kill)
        await run_in_thread(self.scene.restart_upstream(name).wait_ready)
        self.busy.discard(group_of(name))

    def free_daemon(self) -> Daemon | None:
        """Return a running daemon, unless another one is troubled already."""
        if "daemon" in self.busy:
            return None
        running = [daemon for daemon in self.scene.daemons if daemon.running]
        return self.random.choice(running) if len(running) > 2 else None

    async def pause_daemon(self) -> None:
        """Stop the process of one daemon for some seconds."""
        if (daemon := self.free_daemon()) is None:
            return
        self.busy.add("daemon")
        process = daemon.process
        process.signal(signal.SIGSTOP)
        await curio.sleep(self.random.uniform(0.5, 6.0))
        process.signal(signal.SIGCONT)
        self.busy.discard("daemon")

    async def kill_daemon(self) -> None:
        """Kill one daemon and start another in its place."""
        if (daemon := self.free_daemon()) is None:
            return
        self.busy.add("daemon")
        await run_in_thread(daemon.process.kill)
        await curio.sleep(self.random.uniform(0.2, 2.0))
        self.scene.start_daemon(daemon)
        await curio.sleep(3.0)
        self.busy.discard("daemon")

    async def stop_daemon(self) -> None:
        """Stop one daemon as planned and start another in its place."""
        if (daemon := self.free_daemon()) is None:
            return
        self.busy.add("daemon")
        daemon.process.signal(signal.SIGTERM)
        await run_in_thread(daemon.process.wait, 60.0)
        self.scene.start_daemon(daemon)
        await curio.sleep(3.0)
        self.busy.discard("daemon")

    async def store_fault(self, seconds: float, on: dict, off: dict) -> None:
        """Switch on a fault of the platform's store for some seconds."""
        if "store" in self.busy:
            return
        self.busy.add("store")
        place = self.scene.platform.ready["address"]
        await run_in_thread(control, place, "/control", on)
        await curio.sleep(seconds)
        if off:
            await run_in_thread(control, place, "/control", off)
        self.busy.discard("store")


def group_of(name: str) -> str:
    """Return the pool of an upstream."""
    return name.rpartition("-")[0]


async def drive(scene: Scene, load: Load, trouble: Trouble, rate: float, seconds: float) -> None:
    """Run load and faults side by side, then wait until accepted uploads are delivered."""
    checks = await curio.spawn(load.entries.check, daemon=True)
    async with curio.TaskGroup() as group:
        await group.spawn(load.run, rate, seconds)
        await group.spawn(trouble.run, seconds, 1.0)
    await checks.cancel()
    await settle(scene, load)


async def settle(scene: Scene, load: Load) -> None:
    """Wait until each accepted upload has reached an upstream, at most `SETTLE_TIMEOUT`."""
    wanted = {told.digest for told in load.told if told.kind is Kind.UPLOAD and told.good}
    end = time.monotonic() + SETTLE_TIMEOUT
    while time.monotonic() < end:
        if not wanted - {run.digest for run in scene.runs() if run.status == 200}:
            return
        await curio.sleep(0.5)


def near(told: Told, spans: list[tuple[str, float, float]], part: str) -> str:
    """Return the faults of one part that were on during a call, or shortly before it."""
    names = {
        name
        for name, since, until in spans
        if name.startswith(part) and since <= told.ended and told.began <= until + AFTERMATH
    }
    return " + ".join(sorted(names)) or f"NO FAULT of the {part}"


def print_refusals(load: Load, trouble: Trouble) -> None:
    """Print beside which faults callers were refused for the store, or for a VM not ready."""
    for reason, part in (("store-down", "store"), ("not-ready", "daemon")):
        refused = [told for told in load.told if told.reason == reason]
        beside = Counter(near(told, trouble.spans, part) for told in refused)
        for names, count in beside.most_common():
            print(f"{count:4} {reason} beside {names}")
        spans = [span for span in trouble.spans if span[0].startswith(part)]
        after = sum(
            all(told.began > until or told.ended < since for _, since, until in spans)
            for told in refused
        )
        print(f"{after:4} {reason} with no such fault on at the time")
        for told in [t for t in refused if near(t, trouble.spans, part).startswith("NO")][:5]:
            print(f"     {told.attempt} at {told.began:.2f}, took {told.ended - told.began:.2f} s")


def report(scene: Scene, load: Load, trouble: Trouble) -> int:
    """Print what was measured, and return how many promises were broken."""
    for name, count in sorted(trouble.counts.items()):
        print(f"{count:4} {name}")
    broken = judge(Evidence(scene.runs(), load.told, trouble.leaving))
    for violation in broken[:30]:
        print(f"BROKEN {violation}")
    by_promise = Counter(violation.promise for violation in broken)
    for kind in Kind:
        print(f"{kind.value:9} {Summary([told for told in load.told if told.kind is kind])}")
    reasons = Counter(f"{told.status} {told.outcome} {told.reason}" for told in load.told)
    print(", ".join(f"{count} {reason.strip()}" for reason, count in reasons.most_common()))
    print_refusals(load, trouble)
    summary = Summary(load.told)
    print(summary)
    print(
        f"sent {summary.sent}, answered in window {summary.in_window:.2%}, "
        f"lost {by_promise[Promise.UPLOADS]}, doubled {by_promise[Promise.AT_MOST_ONCE]}, "
        f"false not-run {by_promise[Promise.NOT_RUN]}, "
        f"wrong answers {by_promise[Promise.OWN_ANSWER]}, "
        f"late work to leaving {by_promise[Promise.LEAVING]}"
    )
    return len(broken)


def main(*, seconds: float = 120.0, rate: float = 60.0, seed: int = 1) -> int:
    """Run the soak.

    :param seconds: Length of the load.
    :param rate: Calls a second.
    :param seed: Seed of the load and of the faults.
    """
    with Trial() as trial:
        scene = Scene(trial, daemons=4)
        scene.start()
        load = Load(Entries(scene.health(), seed), [spec.work() for spec in SERVICES], seed)
        trouble = Trouble(scene, load, seed)
        curio.run(drive, scene, load, trouble, rate, seconds)
        statuses = scene.stop()
        print(f"exit statuses of the daemons {statuses}")
        return 1 if report(scene, load, trouble) else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
