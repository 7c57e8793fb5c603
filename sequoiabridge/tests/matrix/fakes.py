"""The fakes at the interfaces: upstreams, connections to them, the store, frames between VMs.

Each tells `Steps` what it sees and fails as it is told. The stand-ins themselves are the ones that
also run as processes.
"""

from __future__ import annotations

import socket
from collections import deque
from typing import TYPE_CHECKING

import curio
from curio.io import Socket
from curio.traps import _read_wait

from ...exceptions import UpstreamFailed
from ...fleet.channel import Channel
from ...upstreams.link import Link
from ..standins.memory import Faults, MemoryObjects, MemoryTables
from ..standins.upstream import Upstream
from ..standins.upstream_http import GONE, Incoming, Wire
from .steps import Moment, Step, Steps
from .virtual import OwnedTask, Owner, adopt

if TYPE_CHECKING:
    from .world import World

INBOX = 256
"""Frames that wait for a frozen VM; more are dropped, as the sockets of a stopped process do."""


def break_all(ends: set[socket.socket]) -> None:
    """Break all connections that are still open at this end."""
    for end in ends:
        if end.fileno() >= 0:
            end.shutdown(socket.SHUT_RDWR)
    ends.clear()


class StepWire(Wire):
    """Says when a request's head and body have come."""

    __slots__ = ("upstream", "probe")

    async def event(self) -> object:
        event = await super().event()
        kind = type(event).__name__
        if kind == "Request":
            self.probe = event.target == b"/health"
        if self.probe:
            return event
        step = {"Request": Step.SEND_HEAD, "Data": Step.SEND_BODY}.get(kind)
        if step is not None:
            await self.upstream.reached(step)
        return event

    async def _write(self, data: bytes) -> None:
        if self.probe:
            await super()._write(data)
            return
        half = len(data) // 2
        await super()._write(data[:half])
        await self.upstream.reached(Step.RELAY)
        await super()._write(data[half:])


class FakeUpstream(Upstream):
    """A stand-in upstream inside the test's process."""

    def __init__(self, name: str, address: str, world: World, record, seed: int):
        super().__init__(name, 2, 6.0, seed, record)
        self.address = address
        self.world = world
        self.owner = Owner(name)
        self.ends: set[socket.socket] = set()
        self.up = True

    async def reached(self, step: Step) -> None:
        await self.world.steps.reached(step, upstream=self.name)

    async def serve(self, client, peer) -> None:
        wire = StepWire(client)
        wire.upstream, wire.probe = self, False
        self.wires.add(wire)
        try:
            while (request := await wire.request()) and await self.handle(wire, request):
                pass
        except GONE:
            pass
        finally:
            self.wires.discard(wire)
            await client.close()

    async def run(self, wire: Wire, request: Incoming, watch: curio.Task) -> bool:
        if request.header(b"sequoia-upload-id"):
            await self.reached(Step.DELIVER)
        else:
            await self.reached(Step.WAIT)
        if self.world.crashing and request.header(b"x-nonce") == self.world.crashing:
            self.begin(request)
            await adopt(None, self.world.crash, self)
            await curio.sleep(0)
        return await super().run(wire, request, watch)

    async def end(self) -> None:
        """Be killed: everything open breaks, and new connections are refused until `restart`.

        What is started again in its place is not leaving.
        """
        self.up = False
        self.faults.drain = 0
        for entry in self.world.leaving:
            if entry.upstream == self.name:
                entry.until = min(entry.until, self.clock.wall())
        self.owner.freeze()
        break_all(self.ends)
        self.wires.clear()

    async def restart(self) -> None:
        """Be started again, with nothing left of before but the record of what ran."""
        self.owner = Owner(self.name)
        self.free = curio.Semaphore(self.slots)
        self.in_flight = 0
        self.uploads.clear()
        self.up = True


class Dialer:
    """Takes the place of `open_link`: connects VMs to the fake upstreams by socket pairs."""

    def __init__(self, steps: Steps):
        self.steps = steps
        self.upstreams: dict[str, FakeUpstream] = {}
        self.ends: dict[Owner, set[socket.socket]] = {}

    async def open(self, address: str, clock, timeout: float) -> Link:
        await self.steps.reached(Step.OPEN, upstream=self.name(address))
        upstream = self.upstreams.get(address)
        if upstream is None or not upstream.up:
            raise UpstreamFailed(f"{address}: connection refused. Try another.", sent=False)
        near, far = socket.socketpair()
        near.setblocking(False)
        upstream.ends.add(far)
        self.ends.setdefault(OwnedTask.running.owner, set()).add(near)
        await adopt(upstream.owner, upstream.serve, Socket(far), None)
        return Link(address, near, clock)

    def name(self, address: str) -> str:
        """Return the name of the upstream at an address."""
        upstream = self.upstreams.get(address)
        return upstream.name if upstream else ""

    def cut(self, owner: Owner) -> None:
        """Break all connections of a VM that was killed."""
        break_all(self.ends.pop(owner, set()))


DOWN = Faults(down=True)


class IsolatingTables(MemoryTables):
    """Tables that are down for the VMs named in `isolated`, whatever they are for others."""

    isolated: frozenset[str] = frozenset()

    @property
    def faults(self) -> Faults:
        owner = OwnedTask.running.owner if OwnedTask.running else None
        return DOWN if owner is not None and owner.name in self.isolated else self.shared

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self.shared = faults


class StepTables(IsolatingTables):
    """The table service in memory; says which step a write belongs to.

    `step_of` maps a transaction to the steps that it is before and after its effect, or None.
    """

    def __init__(self, steps: Steps, step_of, faults=None):
        super().__init__(faults)
        self.steps = steps
        self.step_of = step_of

    async def transact(self, conditions, writes, timeout):
        before, after = self.step_of(self, conditions, writes)
        if before is not None:
            await self.steps.reached(before, Moment.BEFORE)
        result = await super().transact(conditions, writes, timeout)
        if after is not None:
            await self.steps.reached(after, Moment.AFTER if after is before else Moment.BEFORE)
        return result


class StepObjects(MemoryObjects):
    """The object store in memory; says when a chunk is written or cleaned up."""

    def __init__(self, steps: Steps, faults=None):
        super().__init__(faults)
        self.tables = IsolatingTables(faults)
        self.steps = steps

    async def put(self, name, data, timeout):
        await self.steps.reached(Step.CHUNK, Moment.BEFORE)
        result = await super().put(name, data, timeout)
        await self.steps.reached(Step.CHUNK, Moment.AFTER)
        return result

    async def delete(self, name, timeout):
        await self.steps.reached(Step.CLEAN_UP, Moment.BEFORE)
        result = await super().delete(name, timeout)
        await self.steps.reached(Step.CLEAN_UP, Moment.AFTER)
        return result


class Network:
    """Carries frames between VMs; `deaf` addresses get none, those of `mute` ones are lost."""

    def __init__(self):
        self.channels: dict[str, FakeChannel] = {}
        self.deaf: set[str] = set()
        self.mute: set[str] = set()

    def partition(self, address: str, *, inward: bool = True, outward: bool = True) -> None:
        """Cut one VM off from all others, later ones too, in one or both directions."""
        if inward:
            self.deaf.add(address)
        if outward:
            self.mute.add(address)

    def blocked(self, sender: str, target: str) -> bool:
        """Return whether a frame is lost on its way."""
        return sender in self.mute or target in self.deaf

    def heal(self) -> None:
        """Let all frames through again."""
        self.deaf.clear()
        self.mute.clear()


class FakeChannel(Channel):
    """A daemon's channel over `Network`."""

    network: Network

    def __init__(self, address: str):
        self.address = address
        self.inbox: deque[bytes] = deque(maxlen=INBOX)
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)
        self.far.setblocking(False)
        self.network.channels[address] = self

    def listen(self) -> None:
        """There is nothing to bind."""

    def send(self, address: str, frame: bytes) -> bool:
        target = self.network.channels.get(address)
        if target is None or self.network.blocked(self.address, address):
            return True
        target.inbox.append(frame)
        try:
            target.far.send(b"x")
        except BlockingIOError:
            return True
        return True

    def redial(self, address: str) -> None:
        """There is no connection to close."""

    async def run(self, receive) -> None:
        while True:
            await _read_wait(self.near)
            self.near.recv(INBOX)
            while self.inbox:
                receive(self.inbox.popleft())

    async def close(self) -> None:
        if self.network.channels.get(self.address) is self:
            del self.network.channels[self.address]
