"""Random sequences of faults: who is reachable comes back, who left stays away."""

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
from .pump import GONE, Pump, incarnation, state

COUNT = 6
HEAL = 30
"""Seconds after which all reachable VMs must know each other as live."""
NUMBERS = st.integers(min_value=1, max_value=COUNT)


class FleetFaults(RuleBasedStateMachine):
    """Six VMs that are killed, replaced, paused, cut off and asked to leave in any order."""

    @initialize(seed=st.integers(min_value=0, max_value=1000))
    def start(self, seed):
        self.pump = Pump(COUNT, seed=seed, seeds=COUNT)
        self.pump.run(10)
        self.left, self.seen = {}, {}

    def node(self, number):
        return self.pump.nodes.get(f"10.0.0.{number}:7000")

    @rule(seconds=st.integers(min_value=1, max_value=12))
    def wait(self, seconds):
        self.pump.run(seconds)

    @rule(number=NUMBERS)
    def kill(self, number):
        node = self.node(number)
        if node is not None and len(self.pump.nodes) > 2:
            self.pump.paused.pop(node.me.address, None)
            self.pump.kill(node)

    @rule(number=NUMBERS)
    def leave(self, number):
        node = self.node(number)
        if node is None or node.me.address in self.pump.paused or len(self.pump.nodes) <= 2:
            return
        self.pump.leave(node)
        self.left[node.me.name] = incarnation(node)

    @rule(number=NUMBERS)
    def start_again(self, number):
        if self.node(number) is None:
            self.pump.add(number)

    @rule(number=NUMBERS)
    def pause(self, number):
        node = self.node(number)
        if node is not None and node.me.address not in self.pump.paused:
            self.pump.pause(node)

    @rule(number=NUMBERS)
    def resume(self, number):
        node = self.node(number)
        if node is not None and node.me.address in self.pump.paused:
            self.pump.resume(node)

    @rule(number=NUMBERS, both=st.booleans())
    def cut(self, number, both):
        nodes = self.pump.all()
        chosen = [n for n in nodes if n is self.node(number)]
        self.pump.cut(chosen, [n for n in nodes if n not in chosen], both)

    @precondition(lambda self: self.pump.cuts)
    @rule()
    def mend(self):
        self.pump.cuts.clear()

    @rule()
    def heal_and_check(self):
        self.pump.cuts.clear()
        for address in list(self.pump.paused):
            self.pump.resume(self.pump.nodes[address])
        assert self.pump.run_until(self.pump.complete, HEAL) is not None

    @invariant()
    def none_that_left_is_believed_live_without_a_newer_incarnation(self):
        for name, over in getattr(self, "left", {}).items():
            for node in self.pump.all():
                view = node.membership.roster.get(name)
                if view is None or view.incarnation > over:
                    continue
                known = state(node, name) in GONE
                assert known or (name, view.incarnation) not in self.heard_left(node)

    def heard_left(self, node):
        """What a VM once knew to have left; it must never forget that while it runs."""
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
