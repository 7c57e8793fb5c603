"""What membership and spreading cost: bytes, CPU, memory and time, in virtual time and for real.

Virtual time runs the daemon's own state machines, codec and byte bucket with a link of 1 ms in
place of sockets; only the time inside them is counted. Real processes talk over loopback.
"""

import gc
import json
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from types import FunctionType, ModuleType

import curio

from ..fleet.base import ConfigurationItem, Urgency
from ..fleet.fleet import FleetNode
from ..fleet.loads import LocalLoad, select_load_items
from ..fleet.members import update_of
from ..fleet.repair import STARTUP_SECONDS
from ..tests.fleet.simulation import KEY, FleetSimulation, SimulatedChannel
from ..timers import ManualClock, SystemClock, Timers

FLEET = 18
SIZES = (18, 50, 100, 200, 500)
SEED_SHARE = 10
"""One VM in this many is a seed; all start at the same moment."""
COLD_LIMIT = 100
"""Largest fleet whose start from nothing is measured."""
SETTLE = 120.0
"""Virtual seconds that a fleet may take to know itself."""
IDLE = 30.0
"""Seconds of virtual time over which an idle fleet is measured."""
CHANGES = 50
CHANGE_SIZE = 300
"""Bytes of a change: one upstream added, with its options."""
GAP = 3.0
"""Virtual seconds between two changes."""
LIMIT = 30.0
REAL_SECONDS = 12.0
NOT_STATE = (
    type,
    ModuleType,
    FunctionType,
    SimulatedChannel,
    FleetSimulation,
    Timers,
    Random,
    ManualClock,
)
UPSTREAMS = 15
"""Upstreams on which each VM has evidence to share."""


class TimedSimulation(FleetSimulation):
    """A simulation that adds up the time spent inside the nodes, link and queue apart."""

    def __init__(self, *args, **more):
        self.spent = 0.0
        super().__init__(*args, **more)

    def add(self, number, name=None, offset=None):
        node = super().add(number, name, offset)
        node.tick, node.receive = self.timed(node.tick), self.timed(node.receive)
        return node

    def timed(self, function):
        def call(*args):
            start = time.perf_counter()
            function(*args)
            self.spent += time.perf_counter() - start

        return call


class Cost:
    """Bytes a second and CPU share of a node between two moments of virtual time."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.start = simulation.clock.now()
        self.spent = simulation.spent
        self.sent = self.bytes()

    def bytes(self):
        return [node.counters.bytes_sent for node in self.simulation.all()]

    def figures(self):
        """Return mean and largest bytes/s of a node, and its mean CPU share in percent."""
        seconds = self.simulation.clock.now() - self.start
        each = [(b - a) / seconds for a, b in zip(self.sent, self.bytes(), strict=True)]
        cpu = (self.simulation.spent - self.spent) / seconds / len(each) * 100
        return statistics.mean(each), max(each), cpu


def cold_start(count):
    """Return a fleet that starts all at once, and the virtual seconds until it knows itself."""
    simulation = TimedSimulation(count, seeds=max(3, count // SEED_SHARE))
    took = simulation.run_until(simulation.complete, SETTLE)
    return simulation, took or float("inf")


def acquainted(count):
    """Return a fleet in which everybody has been told of everybody."""
    simulation = TimedSimulation(count, seeds=max(3, count // SEED_SHARE))
    views = [update_of(node.own_member) for node in simulation.all()]
    for node in simulation.all():
        for view in views:
            node.membership.merger.merge(view, simulation.clock.now())
        node.membership.merger.pending_updates.clear()
        node.membership.merger.events.clear()
    simulation.run(STARTUP_SECONDS + 5)
    return simulation


def follow_changes(simulation):
    """Put changes in force at every node as they come."""
    for node in simulation.all():
        node.subscribe(ConfigurationItem, lambda item, sender, node=node: apply_all(node))


def apply_all(node):
    """Put every change in force whose turn has come."""
    while item := node.version_tracker.next_change():
        node.record_applied(item.version)


def accept(simulation, author, version):
    """Publish a change; return the virtual seconds to in force everywhere and to known so."""
    author.record_applied(version)
    author.publish(ConfigurationItem(version, b"x" * CHANGE_SIZE), Urgency.CONFIGURATION)
    nodes = simulation.all()
    start = simulation.clock.now()
    there = simulation.run_until(
        lambda: all(n.version_tracker.in_force >= version for n in nodes), LIMIT
    )
    simulation.run_until(lambda: author.count_in_force(version)[0] == len(nodes), LIMIT)
    return there, simulation.clock.now() - start


def spread_changes(simulation, count):
    """Spread `count` changes of different authors; return both lists of seconds."""
    there, known = [], []
    for version in range(1, count + 1):
        seconds = accept(simulation, simulation.all()[version % len(simulation.nodes)], version)
        there.append(seconds[0] if seconds[0] is not None else LIMIT)
        known.append(seconds[1])
        simulation.run(GAP)
    return there, known


def share_load(simulation, seconds):
    """Let each node publish shifting evidence; return the bytes/s of load sent by a node."""
    told = {node.own_member.name: {} for node in simulation.all()}
    before = load_bytes(simulation)
    for _ in range(int(seconds / 0.5)):
        now = simulation.clock.now()
        for node in simulation.all():
            loads = [evidence(simulation.random, i, now) for i in range(UPSTREAMS)]
            room = node.bucket.room(Urgency.LOAD)
            for item in select_load_items(loads, told[node.own_member.name], room, now):
                node.publish(item, Urgency.LOAD)
        simulation.run(0.5)
    return (load_bytes(simulation) - before) / seconds / len(simulation.nodes)


def load_bytes(simulation):
    """Return the bytes of load items that all nodes have sent."""
    return sum(n.counters.bytes_by_urgency[Urgency.LOAD] for n in simulation.all())


def evidence(random, number, now):
    """Return evidence on an upstream whose load shifts all the time; one in 30 is a suspect."""
    suspect = random.random() < 1 / 30
    return LocalLoad(f"spendview-{number}", random.randint(0, 4), 6000, suspect, now - 0.05)


def fleet_of_today():
    """Measure the fleet of 18 in virtual time; return its figures."""
    simulation, took = cold_start(FLEET)
    simulation.run(STARTUP_SECONDS)
    follow_changes(simulation)
    cost = Cost(simulation)
    simulation.run(IDLE)
    idle = cost.figures()
    cost = Cost(simulation)
    there, known = spread_changes(simulation, CHANGES)
    busy = cost.figures()
    cost = Cost(simulation)
    load = share_load(simulation, 20)
    shared = cost.figures()
    print(f"{FLEET} nodes, virtual time; complete after {took:.1f} s")
    print(f"  idle:          {idle[0]:6.0f} bytes/s (most {idle[1]:.0f}), CPU {idle[2]:.2f}%")
    print(
        f"  a change a {GAP:.0f} s: {busy[0]:6.0f} bytes/s (most {busy[1]:.0f}), CPU {busy[2]:.2f}%"
    )
    print(
        f"  sharing load:  {shared[0]:6.0f} bytes/s (most {shared[1]:.0f}), of it load {load:.0f}"
    )
    print(f"  in force everywhere: {quantiles(there)}")
    print(f"  known to its author: {quantiles(known)}")
    return idle, busy, there


def time_faults():
    """Print the virtual seconds until faults in fleets of 18 are known, over several seeds."""
    one, third, unready = [], [], []
    for seed in range(10):
        one.append(until_known(seed, [7]))
        third.append(until_known(seed, range(0, FLEET, 3)))
        unready.append(until_unready(seed))
    print(f"  one VM dies, known everywhere:    {quantiles(one)}")
    print(f"  a third dies, known everywhere:   {quantiles(third)}")
    print(f"  minority cut off, none is ready:  {quantiles(unready)}")


def until_known(seed, victims):
    """Return the seconds until every node knows which VMs have died."""
    simulation = FleetSimulation(FLEET, seed=seed)
    simulation.run(30)
    for node in [simulation.all()[i] for i in victims]:
        simulation.kill(node)
    return simulation.run_until(simulation.complete, 120) or 120.0


def until_unready(seed):
    """Return the seconds until no node of a minority that was cut off is ready."""
    simulation = FleetSimulation(FLEET, seed=seed)
    for node in simulation.all():
        node.record_applied(1)
    simulation.run(30)
    few = simulation.all()[: FLEET // 2 - 1]
    simulation.cut(few, simulation.all()[FLEET // 2 - 1 :])
    now = simulation.clock.now
    return (
        simulation.run_until(lambda: not any(n.version_tracker.ready(now()) for n in few), 120)
        or 120.0
    )


def quantiles(values):
    """Return median, 99th percentile and maximum as text."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"p50 {statistics.median(ordered):.2f} p99 {p99:.2f} max {ordered[-1]:.2f} s"


def memory_of(root):
    """Return the bytes of all plain data that a node holds, shared parts of the link left out."""
    seen, waiting, total = set(), [root], 0
    while waiting:
        thing = waiting.pop()
        if id(thing) in seen or isinstance(thing, NOT_STATE):
            continue
        seen.add(id(thing))
        total += sys.getsizeof(thing)
        waiting += gc.get_referents(thing)
    return total


def slope(count):
    """Print one row of the table of sizes."""
    took = f"{cold_start(count)[1]:.1f}" if count <= COLD_LIMIT else "not run"
    simulation = acquainted(count)
    follow_changes(simulation)
    memory = memory_of(simulation.all()[-1]) / 1024
    cost = Cost(simulation)
    simulation.run(IDLE)
    mean, most, cpu = cost.figures()
    there, known = spread_changes(simulation, 5)
    print(
        f"{count:7d} {took:>12} {mean:8.0f} {most:8.0f} {cpu:8.2f} {cpu * 2000:10.0f} "
        f"{memory:8.0f} {max(there):9.2f} {max(known):9.2f}",
        flush=True,
    )


async def real_node(number, count, port):
    """Run one node for a while and print its figures as JSON."""
    timers = Timers(SystemClock())
    await curio.spawn(timers.run, daemon=True)
    addresses = [f"127.0.0.1:{port + i}" for i in range(count)]
    node = FleetNode(
        f"vm{number}",
        "dc1",
        addresses[number],
        addresses[:3],
        [KEY],
        timers,
        timers.clock,
        Random(number),
    )
    times = {}
    node.subscribe(ConfigurationItem, lambda item, sender: (apply_all(node), note(times, item)))
    await node.start()
    await curio.sleep(REAL_SECONDS)
    idle = await measure(node, REAL_SECONDS)
    live = node.live_count()
    if number == 0:
        await curio.spawn(publish_all, node, times, daemon=True)
    busy = await measure(node, REAL_SECONDS)
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    rss = pages * resource.getpagesize() / 1024 / 1024
    print(json.dumps({"idle": idle, "busy": busy, "mb": rss, "live": live, "times": times}))
    await curio.sleep(1.0)
    await node.leave()


def note(times, item):
    """Note when a version came."""
    times[item.version] = time.time()


async def publish_all(node, times):
    """Publish a change every second."""
    for version in range(1, int(REAL_SECONDS) - 2):
        times[version] = time.time()
        node.record_applied(version)
        node.publish(ConfigurationItem(version, b"x" * CHANGE_SIZE), Urgency.CONFIGURATION)
        await curio.sleep(1.0)


async def measure(node, seconds):
    """Return the bytes/s and the CPU share of this process over some seconds."""
    cpu, sent = time.process_time(), node.counters.bytes_sent
    await curio.sleep(seconds)
    share = (time.process_time() - cpu) / seconds * 100
    return [(node.counters.bytes_sent - sent) / seconds, share]


def real_processes(count, port=17_300):
    """Run `count` processes over loopback and print what they measured."""
    command = [sys.executable, "-m", "sequoiabridge.benchmarks.fleet", "node"]
    started = [
        subprocess.Popen([*command, str(i), str(count), str(port)], stdout=subprocess.PIPE)
        for i in range(count)
    ]
    rows = [json.loads(p.communicate(timeout=120)[0].splitlines()[-1]) for p in started]
    delays = [
        max(row["times"].get(version, float("inf")) for row in rows) - at
        for version, at in rows[0]["times"].items()
    ]
    live = min(row["live"] for row in rows)
    print(f"{count} processes over loopback, each sees at least {live} live")
    for phase in ("idle", "busy"):
        sent = [row[phase][0] for row in rows]
        cpu = [row[phase][1] for row in rows]
        print(
            f"  {phase}: {statistics.mean(sent):.0f} bytes/s (most {max(sent):.0f}), "
            f"CPU {statistics.mean(cpu):.2f}% (most {max(cpu):.2f})"
        )
    print(f"  memory {max(row['mb'] for row in rows):.0f} MB; {quantiles(delays)} to in force")


def main():
    """Print all tables; the last line has the figures at 18."""
    if sys.argv[1:2] == ["node"]:
        curio.run(real_node, *[int(word) for word in sys.argv[2:5]])
        return
    print("   VMs cold_start_s  bytes/s     most    CPU_%  tick+msgs_us   KB/VM in_force_s known_s")
    for count in SIZES:
        slope(count)
    real_processes(FLEET)
    idle, busy, there = fleet_of_today()
    time_faults()
    print(
        f"at {FLEET}: idle {idle[0]:.0f} bytes/s, CPU {idle[2]:.2f}%; with a change a {GAP:.0f} s "
        f"{busy[0]:.0f} bytes/s, CPU {busy[2]:.2f}%; in force {quantiles(there)}"
    )


if __name__ == "__main__":
    main()
