"""Plays a scene once: builds what it describes, lets calls and faults come, returns the figures."""

from __future__ import annotations

from random import Random

from .agenda import Agenda
from .callers import Callers
from .figures import Figures
from .players import maker
from .scene import Fault, Scene
from .upstream import ModelUpstream
from .vm import ModelVm

AFTER = 12.0
"""Seconds beyond the last call in which neighbours still change; callers have left by then."""


class Play:
    """One play of a scene with one seed and one way to choose upstreams."""

    def __init__(self, scene: Scene, seed: int, player: str):
        self.scene = scene
        self.agenda = Agenda()
        self.random = Random(seed)
        self.upstreams = self._upstreams(seed)
        make = maker(player, {upstream.id: upstream for upstream in self.upstreams})
        self.vms = [
            ModelVm(n, scene, self.upstreams, self.agenda, Random(f"{seed}/{n}"), make)
            for n in range(scene.vms)
        ]
        for vm in self.vms:
            vm.peers = [peer for peer in self.vms if peer.place == vm.place and peer is not vm]
        self.callers = Callers(self.vms, self.agenda, Random(f"{seed}/callers"))

    def run(self) -> Figures:
        """Play to the end."""
        scene = self.scene
        for upstream in self.upstreams:
            upstream.neighbours_change(scene.seconds + AFTER)
        for fault in scene.faults:
            self.agenda.after(fault.at, self._begin, fault)
        for kind in scene.kinds:
            self.callers.begin(kind, scene.seconds)
        self.agenda.run()
        dispatches = [dispatch for vm in self.vms for dispatch in vm.retired]
        hedges = sum(dispatch.hedges for dispatch in dispatches)
        return Figures(self.callers.records, sum(vm.asked for vm in self.vms), hedges)

    def _upstreams(self, seed: int) -> list[ModelUpstream]:
        made = []
        for service in self.scene.services:
            for number in range(service.upstreams):
                id = f"{service.name}-{number}"
                random = Random(f"{seed}/{id}")
                place = number % self.scene.data_centres
                made.append(ModelUpstream(id, place, service, self.agenda, random))
        return made

    def _some(self, things: list, share: float) -> list:
        return self.random.sample(things, round(share * len(things)))

    def _begin(self, fault: Fault) -> None:
        if fault.kind == "burst":
            self.callers.factor *= fault.factor
            self.agenda.after(fault.seconds, self._end_burst, fault.factor)
        elif fault.kind == "abuse":
            self.callers.abusive_share, self.callers.abuse = fault.share, round(fault.factor)
            self.agenda.after(fault.seconds, setattr, self.callers, "abusive_share", 0.0)
        elif fault.kind == "restart":
            for vm in self._some(self.vms, fault.share):
                vm.restart()
        elif fault.kind == "deaf":
            for vm in self._some(self.vms, fault.share):
                vm.deaf = True
                self.agenda.after(fault.seconds, setattr, vm, "deaf", False)
        else:
            self._harm(fault)

    def _end_burst(self, factor: float) -> None:
        self.callers.factor /= factor

    def _harm(self, fault: Fault) -> None:
        """Let a fault of upstreams begin, and end in its time."""
        name, value, usual = {
            "slow": ("slow", fault.factor, 1.0),
            "shed": ("shed", fault.factor, 0.0),
            "dark": ("dark", True, False),
        }[fault.kind]
        for upstream in self._some(self.upstreams, fault.share):
            upstream.set_fault(name, value)
            self.agenda.after(fault.seconds, upstream.set_fault, name, usual)


def play(scene: Scene, seed: int, player: str) -> Figures:
    """Return the figures of one play."""
    return Play(scene, seed, player).run()
