"""The caller that a cell is about: it may leave, be slow, or send its work again elsewhere."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import curio

from ...benchmarks.calls import Call, Caller, Line
from ...benchmarks.oracle import Told
from .steps import Step

if TYPE_CHECKING:
    from .vm import Vm
    from .world import World

PATIENCE = 25.0
"""Seconds after which a caller gives up."""
SLOW_PIECES, SLOW_PAUSE = 8, 0.15
"""Pieces in which a slow caller sends, and seconds between two of them."""


class PlainCaller(Caller):
    """A caller that behaves; its connection is a socket pair."""

    def __init__(self, world: World):
        super().__init__(PATIENCE, world.clock)
        self.world = world

    async def line(self, entry: str) -> Line:
        return Line(await self.world.vms[entry].connect())

    async def keep(self, entry: str, line: Line | None, told: Told) -> None:
        if line is not None:
            await line.sock.close()


class MatrixCaller(PlainCaller):
    """The subject's caller."""

    def __init__(self, world: World):
        super().__init__(world)
        self.plain = PlainCaller(world)
        self.steps = world.steps
        self.open_line: Line | None = None
        self.gone = False
        self.slow = False
        self.cut_after = 0
        self.work: Call | None = None
        self.vm: Vm | None = None

    async def send_plain(self, vm: Vm, call: Call) -> Told:
        """Send a call without steps or faults of its own."""
        told = await self.plain.call(vm.name, call)
        self.world.told.append(told)
        return told

    async def send(self, vm: Vm, call: Call) -> Told:
        """Send the subject's call."""
        self.work, self.vm, self.gone = call, vm, False
        await self.steps.reached(Step.CONNECT, vm=vm.name)
        told = await self.call(vm.name, call)
        told.gone = self.gone
        self.world.told.append(told)
        self.open_line = None
        return told

    async def line(self, entry: str) -> Line:
        self.open_line = await super().line(entry)
        if self.gone:
            await self.vanish()
        return self.open_line

    async def transmit(self, line: Line, data: bytes) -> None:
        await line.sock.sendall(data[:40])
        await curio.sleep(0.001)
        await self.steps.reached(Step.READ_HEAD, vm=self.vm.name)
        rest = data[40 : self.cut_after or None]
        size = -(-len(rest) // SLOW_PIECES) if self.slow else len(rest)
        for start in range(0, len(rest), max(1, size)):
            await line.sock.sendall(rest[start : start + size])
            await curio.sleep(SLOW_PAUSE if self.slow else 0.0)
        if self.cut_after:
            await self.vanish()

    async def answering(self, told: Told) -> None:
        await self.steps.reached(Step.REPLY, vm=self.vm.name)
        if self.slow:
            await curio.sleep(SLOW_PAUSE * SLOW_PIECES)

    async def vanish(self) -> None:
        """Close the connection in the middle of whatever it does."""
        self.gone = True
        if self.open_line is not None:
            await self.open_line.sock.shutdown(socket.SHUT_RDWR)

    async def resend(self) -> None:
        """Send the same work again at another VM, while the first sending may still go on."""
        if self.work is None:
            return
        others = [vm for vm in self.world.vms.values() if vm is not self.vm and vm.up]
        again = self.world.call(self.work.kind, self.work.nonce, 99, own=True)
        await self.send_plain((others or [self.vm])[0], again)
