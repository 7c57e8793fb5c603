"""Stateful test of claims with random faults, killed VMs and pauses.

No request may be sent twice, and no key may stay blocked.
"""

import random
from collections import Counter

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...store.claim_admin import RELEASE_GRACE, ClaimAdmin
from ...store.claim_results import ClaimGranted, ClaimReplay, ClaimUnavailable
from ...store.claim_rows import claim_key
from ...store.claims import Claims
from .store_fakes import FakePlatform

VMS = st.integers(0, 2)
KEYS = st.sampled_from(["a", "b"])
FAULTS = st.sampled_from(["lose_answers", "lose_writes", "late", "lose_reads"])
INDEX = st.integers(0, 99)
WINDOW = 2.0


class ClaimMachine(RuleBasedStateMachine):
    """Three VMs and two keys.

    Attributes:
        holdings: VM, key and granted claim, and whether its request was sent.
        sends: Number of times that a request was sent, by key.
        orphans: Keys of claims that killed VMs had not reported.
    """

    def __init__(self):
        super().__init__()
        self.kernel = curio.Kernel()
        self.platform = FakePlatform()
        self.vms = [self.new_vm(number) for number in range(3)]
        self.admin = ClaimAdmin(self.platform.client(), self.platform.clock, random.Random(1))
        self.holdings: list[list] = []
        self.sends: Counter[str] = Counter()
        self.orphans: set[str] = set()

    def new_vm(self, number: int) -> Claims:
        return Claims(self.platform.client(), self.platform.clock, f"vm{number}")

    def run(self, call, *args):
        return self.kernel.run(call, *args)

    def acquire(self, vm: int, key: str):
        deadline = self.platform.clock.now() + WINDOW
        return self.run(self.vms[vm].acquire, "s", "c", key, "d", deadline)

    @rule(fault=FAULTS, count=st.integers(1, 8))
    def inject_fault(self, fault, count):
        setattr(self.platform.faults, fault, count)

    @rule(vm=VMS, key=KEYS)
    def claim(self, vm, key):
        result = self.acquire(vm, key)
        if isinstance(result, ClaimGranted):
            self.holdings.append([vm, key, result, False])
        if isinstance(result, ClaimReplay):
            assert self.sends[key] == 1

    @precondition(lambda self: self.holdings)
    @rule(index=INDEX)
    def send(self, index):
        holding = self.holdings[index % len(self.holdings)]
        if not holding[3] and self.platform.clock.now() < holding[2].deadline:
            holding[3] = True
            self.sends[holding[1]] += 1

    @precondition(lambda self: self.holdings)
    @rule(index=INDEX, known=st.booleans())
    def report(self, index, known):
        vm, _key, claim, sent = self.holdings.pop(index % len(self.holdings))
        if not sent:
            self.run(self.vms[vm].release, claim)
        elif known:
            self.run(self.vms[vm].complete, claim, 200, [], b"ok")
        else:
            self.run(self.vms[vm].mark_unknown, claim)

    @rule()
    def land_late(self):
        self.platform.tables.land_late()

    @rule(vm=VMS)
    def write_pending_reports(self, vm):
        self.run(self.vms[vm].retry_reports)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0, WINDOW + RELEASE_GRACE]))
    def pause(self, seconds):
        self.platform.clock.advance(seconds)

    @rule(vm=VMS)
    def kill_vm(self, vm):
        self.orphans |= {report.row.key for report in self.vms[vm].reports.pending.values()}
        self.orphans |= {holding[1] for holding in self.holdings if holding[0] == vm}
        self.holdings = [holding for holding in self.holdings if holding[0] != vm]
        self.vms[vm] = self.new_vm(vm)

    @rule(key=KEYS)
    def operator_releases(self, key):
        if self.sends[key] == 0:
            self.run(self.admin.release_by_operator, claim_key("s", "c", key), "anna", "ok", 5.0)

    @invariant()
    def sent_at_most_once(self):
        assert all(count <= 1 for count in self.sends.values())

    def teardown(self):
        try:
            self.check_no_key_stays_blocked()
        finally:
            self.kernel.run(shutdown=True)

    def check_no_key_stays_blocked(self):
        for fault in ("lose_answers", "lose_writes", "late", "lose_reads"):
            setattr(self.platform.faults, fault, 0)
        self.platform.clock.advance(60.0)
        for _ in range(2):
            self.platform.tables.land_late()
            for vm in range(3):
                self.run(self.vms[vm].store.probe)
                self.run(self.vms[vm].retry_reports)
        held = {holding[1] for holding in self.holdings}
        for key in {"a", "b"} - held - self.orphans:
            result = self.acquire(0, key)
            assert not isinstance(result, ClaimUnavailable)
            assert isinstance(result, ClaimGranted) == (self.sends[key] == 0)


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None, database=None
)
