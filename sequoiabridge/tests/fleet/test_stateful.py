"""Random faults: reachable VMs become live again, and VMs that left stay removed."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ...fleet.base import MemberState
from .simulation import GONE_STATES, FleetSimulation, incarnation, state

COUNT = 6
CONVERGENCE_SECONDS = 30
"""Seconds within which all reachable VMs must see each other as live."""
NUMBERS = st.integers(min_value=1, max_value=COUNT)


class FleetFaults(RuleBasedStateMachine):
    """VMs that are killed, replaced, paused, partitioned and leave in any order."""

    @initialize(seed=st.integers(min_value=0, max_value=1000))
    def start(self, seed):
        self.simulation = FleetSimulation(COUNT, seed=seed, seeds=COUNT)
        self.simulation.run(10)
        self.left, self.seen = {}, {}

    def node(self, number):
        return self.simulation.nodes.get(f"10.0.0.{number}:7000")

    @rule(seconds=st.integers(min_value=1, max_value=12))
    def wait(self, seconds):
        self.simulation.run(seconds)

    @rule(number=NUMBERS)
    def kill(self, number):
        node = self.node(number)
        if node is not None and len(self.simulation.nodes) > 2:
            self.simulation.paused.pop(node.own_member.address, None)
            self.simulation.kill(node)

    @rule(number=NUMBERS)
    def leave(self, number):
        node = self.node(number)
        if (
            node is None
            or node.own_member.address in self.simulation.paused
            or len(self.simulation.nodes) <= 2
        ):
            return
        self.simulation.leave(node)
        self.left[node.own_member.name] = incarnation(node)

    @rule(number=NUMBERS)
    def start_again(self, number):
        if self.node(number) is None:
            self.simulation.add(number)

    @rule(number=NUMBERS)
    def pause(self, number):
        node = self.node(number)
        if node is not None and node.own_member.address not in self.simulation.paused:
            self.simulation.pause(node)

    @rule(number=NUMBERS)
    def resume(self, number):
        node = self.node(number)
        if node is not None and node.own_member.address in self.simulation.paused:
            self.simulation.resume(node)

    @rule(number=NUMBERS, both=st.booleans())
    def cut(self, number, both):
        nodes = self.simulation.all()
        chosen = [n for n in nodes if n is self.node(number)]
        self.simulation.cut(chosen, [n for n in nodes if n not in chosen], both)

    @precondition(lambda self: self.simulation.cuts)
    @rule()
    def mend(self):
        self.simulation.cuts.clear()

    @rule()
    def heal_and_check(self):
        self.simulation.cuts.clear()
        for address in list(self.simulation.paused):
            self.simulation.resume(self.simulation.nodes[address])
        assert self.simulation.run_until(self.simulation.complete, CONVERGENCE_SECONDS) is not None

    @invariant()
    def none_that_left_is_believed_live_without_a_newer_incarnation(self):
        for name, left_incarnation in getattr(self, "left", {}).items():
            for node in self.simulation.all():
                view = node.membership.roster.get(name)
                if view is None or view.incarnation > left_incarnation:
                    continue
                known = state(node, name) in GONE_STATES
                assert known or (name, view.incarnation) not in self.recorded_left(node)

    def recorded_left(self, node):
        """Return the incarnations that a node has ever recorded as left."""
        _, seen = self.seen.setdefault(id(node), (node, set()))
        for member in node.membership.roster.members.values():
            if member.state is MemberState.LEFT:
                seen.add((member.name, member.incarnation))
        return seen


TestFleetFaults = FleetFaults.TestCase
TestFleetFaults.settings = settings(
    max_examples=40,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
