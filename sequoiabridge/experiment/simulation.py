"""One simulation run of a scene: builds the model, starts requests and faults, returns results."""

from __future__ import annotations

from random import Random

from .callers import Callers
from .results import RunResult
from .scene import Fault, Scene
from .scheduler import Scheduler
from .strategies import chooser_factory
from .upstream import ModelUpstream
from .vm import ModelVm

DRAIN_SECONDS = 12.0
"""Time after the last arrival for which the neighbour load keeps changing; longer than a caller
waits in the example scenes."""


class Simulation:
    """One run of a scene, with a seed and a balancing strategy."""

    def __init__(self, scene: Scene, seed: int, strategy: str):
        self.scene = scene
        self.scheduler = Scheduler()
        self.random = Random(seed)
        self.upstreams = self._build_upstreams(seed)
        make_chooser = chooser_factory(
            strategy, {upstream.id: upstream for upstream in self.upstreams}
        )
        self.vms = [
            ModelVm(n, scene, self.upstreams, self.scheduler, Random(f"{seed}/{n}"), make_chooser)
            for n in range(scene.vms)
        ]
        for vm in self.vms:
            vm.peers = [
                peer for peer in self.vms if peer.data_centre == vm.data_centre and peer is not vm
            ]
        self.callers = Callers(self.vms, self.scheduler, Random(f"{seed}/callers"))

    def run(self) -> RunResult:
        """Run to the end and return the results."""
        scene = self.scene
        for upstream in self.upstreams:
            upstream.redraw_neighbours(scene.seconds + DRAIN_SECONDS)
        for fault in scene.faults:
            self.scheduler.call_later(fault.at, self._start_fault, fault)
        for kind in scene.kinds:
            self.callers.start(kind, scene.seconds)
        self.scheduler.run()
        dispatches = [dispatch for vm in self.vms for dispatch in vm.dispatches]
        hedges = sum(dispatch.hedges for dispatch in dispatches)
        return RunResult(self.callers.records, sum(vm.probes_sent for vm in self.vms), hedges)

    def _build_upstreams(self, seed: int) -> list[ModelUpstream]:
        upstreams = []
        for service in self.scene.services:
            for number in range(service.upstreams):
                id = f"{service.name}-{number}"
                random = Random(f"{seed}/{id}")
                data_centre = number % self.scene.data_centres
                upstreams.append(ModelUpstream(id, data_centre, service, self.scheduler, random))
        return upstreams

    def _sample(self, items: list, share: float) -> list:
        return self.random.sample(items, round(share * len(items)))

    def _start_fault(self, fault: Fault) -> None:
        if fault.kind == "burst":
            self.callers.rate_factor *= fault.factor
            self.scheduler.call_later(fault.seconds, self._end_burst, fault.factor)
        elif fault.kind == "abuse":
            self.callers.abusive_share, self.callers.abuse_factor = fault.share, round(fault.factor)
            self.scheduler.call_later(fault.seconds, setattr, self.callers, "abusive_share", 0.0)
        elif fault.kind == "restart":
            for vm in self._sample(self.vms, fault.share):
                vm.restart()
        elif fault.kind == "deaf":
            for vm in self._sample(self.vms, fault.share):
                vm.isolated = True
                self.scheduler.call_later(fault.seconds, setattr, vm, "isolated", False)
        else:
            self._start_upstream_fault(fault)

    def _end_burst(self, factor: float) -> None:
        self.callers.rate_factor /= factor

    def _start_upstream_fault(self, fault: Fault) -> None:
        """Start a fault on a share of the upstreams and schedule its end."""
        name, value, normal = {
            "slow": ("fault_slowdown", fault.factor, 1.0),
            "shed": ("shed_share", fault.factor, 0.0),
            "dark": ("unresponsive", True, False),
        }[fault.kind]
        for upstream in self._sample(self.upstreams, fault.share):
            upstream.set_fault(name, value)
            self.scheduler.call_later(fault.seconds, upstream.set_fault, name, normal)


def simulate(scene: Scene, seed: int, strategy: str) -> RunResult:
    """Return the results of one run."""
    return Simulation(scene, seed, strategy).run()
