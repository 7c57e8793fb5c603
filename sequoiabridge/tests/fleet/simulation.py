"""Fleet nodes in one process and in virtual time, with faults on the links between them."""

from random import Random

from ...fleet.base import MemberState
from ...fleet.channel import Channel
from ...fleet.fleet import TICK_INTERVAL, FleetNode
from ...timers import ManualClock, Timers

KEY = b"a key of the fleet, 32 bytes long"
STEP_SECONDS = 0.02


class SimulatedChannel(Channel):
    """Channel that passes frames to the simulation."""

    def __init__(self, simulation, address):
        self.simulation, self.address = simulation, address

    def send(self, address, frame):
        self.simulation.send(self.address, address, frame)
        return True

    def redial(self, address):
        self.simulation.failed_connections.discard((self.address, address))

    def listen(self):
        pass

    async def run(self, receive):
        raise AssertionError("the simulation delivers frames")

    async def close(self):
        pass


class FleetSimulation:
    """Nodes by address, connected by simulated links.

    Frames are lost on the one-way links in `cuts`, on `failed_connections` until these are
    redialed, and at random with probability `loss`.
    """

    def __init__(self, count=0, seed=1, loss=0.0, seeds=3, rate=3000):
        self.clock = ManualClock(100.0)
        self.random = Random(seed)
        self.loss, self.rate = loss, rate
        self.seeds = [f"10.0.0.{i}:7000" for i in range(1, seeds + 1)]
        self.nodes, self.next_tick, self.paused = {}, {}, {}
        self.cuts, self.failed_connections, self.frames, self.log = set(), set(), [], []
        for i in range(1, count + 1):
            self.add(i)

    def add(self, number, name=None, offset=None):
        """Start a VM; it replaces a VM at the same address."""
        address = f"10.0.0.{number}:7000"
        clock = self.clock
        if offset is not None:
            clock = ManualClock(self.clock.now(), offset)
        node = FleetNode(
            name or f"vm{number}",
            f"dc{number % 3}",
            address,
            self.seeds,
            [KEY],
            Timers(self.clock),
            clock,
            Random(self.random.random()),
            self.rate,
            channel=SimulatedChannel(self, address),
        )
        node.clock = self.clock
        self.nodes[address] = node
        self.next_tick[address] = self.clock.now() + self.random.uniform(0, TICK_INTERVAL)
        return node

    def kill(self, node):
        self.nodes.pop(node.own_member.address)

    def leave(self, node):
        """Leave the fleet and stop."""
        node.send_leave()
        self.kill(node)

    def pause(self, node):
        self.paused[node.own_member.address] = []

    def resume(self, node):
        address = node.own_member.address
        for frame in self.paused.pop(address):
            node.receive(frame)

    def cut(self, group, rest, both=True):
        for a in group:
            for b in rest:
                self.cuts.add((a.own_member.address, b.own_member.address))
                if both:
                    self.cuts.add((b.own_member.address, a.own_member.address))

    def send(self, source, target, frame):
        link = (source, target)
        lost = self.random.random() < self.loss
        if link in self.cuts or link in self.failed_connections or lost:
            return
        self.frames.append((self.clock.now() + 0.001, target, frame))

    def run(self, seconds):
        """Advance the time in small steps."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(STEP_SECONDS)
            self._deliver()
            for address, node in list(self.nodes.items()):
                if address in self.paused or self.clock.now() < self.next_tick[address]:
                    continue
                self.next_tick[address] = self.clock.now() + TICK_INTERVAL
                node.tick()

    def run_until(self, condition, limit):
        """Run until the condition holds; return the elapsed seconds, or None after `limit`."""
        start = self.clock.now()
        while not condition():
            if self.clock.now() - start >= limit:
                return None
            self.run(STEP_SECONDS)
        return self.clock.now() - start

    def all(self):
        return list(self.nodes.values())

    def complete(self):
        """Return True if every running VM sees exactly the running VMs as live."""
        names = {n.own_member.name for n in self.all()}
        return all(set(live_names(n)) | {n.own_member.name} == names for n in self.all())

    def _deliver(self):
        now = self.clock.now()
        due, self.frames = (
            [f for f in self.frames if f[0] <= now],
            [f for f in self.frames if f[0] > now],
        )
        for _, target, frame in due:
            if target in self.paused:
                self.paused[target].append(frame)
            elif target in self.nodes:
                self.nodes[target].receive(frame)


def live_names(node):
    return list(node.membership.roster.live_names)


def state(node, name):
    member = node.membership.roster.get(name)
    return member.state if member is not None else None


def incarnation(node):
    return node.own_member.incarnation


GONE_STATES = (MemberState.DEAD, MemberState.LEFT)
