"""One VM of the matrix: the real daemon, with fakes in place of everything outside of it."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import TYPE_CHECKING

import curio
from curio.io import Socket

from ...callers.connection import CallerConnection
from ...config.settings import Settings
from ...daemon import Daemon
from ...fleet.base import ConfigurationItem
from ...fleet.fleet import FleetNode
from ...pipeline.base import Filter
from ...pipeline.exchange import Answer, Exchange
from .fakes import INBOX, break_all
from .steps import Step, Steps
from .virtual import Owner, adopt

if TYPE_CHECKING:
    from .world import World

SETTINGS = """
[vm]
name = {name}
data_centre = dc-1
[callers]
address = 127.0.0.1:0
balancer_lag = 500ms
[admin]
address = 127.0.0.1:0
token = an-operators-token-for-tests
[fleet]
address = {fleet}
seeds = {seeds}
key = a-key-of-the-fleet-that-is-long-enough
[platform]
tables = 127.0.0.1:1
objects = 127.0.0.1:1
list = 127.0.0.1:1
"""

CHUNK = 16_000
"""Bytes of an upload's chunk here."""


class MatrixDaemon(Daemon):
    """The daemon without signals, which tells `Steps` what no fake can see."""

    def __init__(self, settings: Settings, world: World):
        self.world = world
        super().__init__(settings, world.clock)
        self.uploads.chunk_size = CHUNK
        self.uploads.chunks_per_commit = 2
        pipeline = self.pipeline
        pipeline.filters = with_steps(pipeline.filters, world.steps, self.vm)
        pipeline.dispatch = StepDispatch(pipeline.dispatch, world.steps, self.vm)

    def _catch_signals(self) -> None:
        """Signals concern the test's own process."""

    def _build_fleet(self) -> FleetNode:
        fleet = super()._build_fleet()
        publish = fleet.publish

        def step_and_publish(item, urgency) -> None:
            if isinstance(item, ConfigurationItem):
                self.world.steps.reached_soon(Step.SPREAD, self.vm)
            publish(item, urgency)

        fleet.publish = step_and_publish
        return fleet

    def _apply(self, document) -> None:
        self.world.steps.reached_soon(Step.APPLIED, self.vm)
        super()._apply(document)

    async def _stop(self) -> None:
        leave = self.fleet.leave

        async def step_and_leave() -> None:
            await self.world.steps.reached(Step.LAST_ENDS)
            await self.world.steps.reached(Step.LEAVE)
            await leave()

        self.fleet.leave = step_and_leave
        await self.world.steps.reached(Step.DRAIN)
        await super()._stop()


class StepFilter(Filter):
    """Says that the filter after it is about to be entered."""

    __slots__ = ("steps", "step", "vm")

    def __init__(self, steps: Steps, step: Step, vm: str):
        self.steps = steps
        self.step = step
        self.vm = vm

    async def enter(self, exchange: Exchange) -> None:
        await self.steps.reached(self.step, vm=self.vm)


class StepDispatch:
    """Says that an upstream is about to be chosen."""

    def __init__(self, dispatch, steps: Steps, vm: str):
        self.dispatch = dispatch
        self.steps = steps
        self.vm = vm

    async def run(self, exchange: Exchange) -> Answer:
        await self.steps.reached(Step.CHOOSE, vm=self.vm)
        return await self.dispatch.run(exchange)


def with_steps(filters: Sequence[Filter], steps: Steps, vm: str) -> list[Filter]:
    """Put a `StepFilter` before each filter that is a step of the matrix."""
    watched = {"match": Step.MATCH, "admit": Step.ADMIT}
    result: list[Filter] = []
    for each in filters:
        if each.name in watched:
            result.append(StepFilter(steps, watched[each.name], vm))
        result.append(each)
    return result


class Vm:
    """A VM that can be started, paused, killed, stopped and replaced under its name."""

    def __init__(self, world: World, name: str, number: int):
        self.world = world
        self.name = name
        self.fleet = f"127.0.0.1:{7000 + number}"
        self.owner = Owner(name)
        self.daemon: MatrixDaemon | None = None
        self.task: curio.Task | None = None
        self.ends: set[socket.socket] = set()

    @property
    def up(self) -> bool:
        """True while its process lives, paused or not."""
        return self.task is not None and not self.task.terminated

    @property
    def ready(self) -> bool:
        """True if the balancer sends it callers."""
        return self.up and not self.owner.frozen and self.daemon.readiness.check()[0]

    async def start(self) -> None:
        """Start a daemon with nothing left of an earlier one."""
        seeds = [vm.fleet for vm in self.world.vms.values() if vm is not self][:2]
        text = SETTINGS.format(name=self.name, fleet=self.fleet, seeds=", ".join(seeds))
        self.owner = Owner(self.name)
        self.daemon = MatrixDaemon(Settings.parse(text).ok, self.world)
        self.task = await adopt(self.owner, self.daemon.run)

    async def kill(self) -> None:
        """End it at once: nothing runs on, and all its connections break."""
        self.owner.freeze()
        self.task = None
        self.world.network.channels.pop(self.fleet, None)
        self.world.dialer.cut(self.owner)
        break_all(self.ends)

    async def stop(self) -> None:
        """Stop it as planned, as SIGTERM does."""
        if not self.up or self.daemon.readiness.stopping:
            return
        self.daemon.readiness.stopping = True
        await self.daemon.stop_requested.set()

    async def connect(self) -> Socket:
        """Return a new connection of a caller."""
        if not self.up or self.daemon.callers.stopping:
            raise ConnectionRefusedError("connection refused")
        near, far = socket.socketpair()
        far.setblocking(False)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, INBOX * 64)
        self.ends.add(far)
        server = self.daemon.callers
        connection = CallerConnection(server, far, "127.0.0.1:9999")
        server.open_connections.add(connection)
        connection.transport.task = await adopt(self.owner, server._run, connection)
        return Socket(near)
