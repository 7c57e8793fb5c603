"""Random interleavings of VMs, callers, deliverers, clean-ups and faults; one oracle."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ...exceptions import SequoiaError
from ...store.upload_manifest import UploadState, keyed_id
from ..standins.uploads import World, finish, incoming

CONTENTS = {f"k{n}": bytes(range(65, 65 + n * 9)) for n in range(3)}
BY_ID = {keyed_id("lataus", "uni", key): data for key, data in CONTENTS.items()}
KEYS = st.sampled_from(sorted(CONTENTS))
VMS = st.sampled_from(["a", "b", "c"])


class Uploading(RuleBasedStateMachine):
    """Tasks are driven a few pauses at a time, left for as long as chance has it, or dropped."""

    @initialize()
    def begin(self):
        self.world = World()
        self.tasks = []
        self.told = set()

    @rule(vm=VMS, key=KEYS, cut=st.one_of(st.none(), st.integers(0, 17)))
    def start(self, vm, key, cut):
        data = CONTENTS[key]
        cut = None if cut is None or cut >= len(data) else cut
        self.tasks.append(self.told_by(self.world.vm(vm), incoming(data, cut, key=key)))

    @rule(vm=VMS, key=KEYS)
    def resume(self, vm, key):
        self.tasks.append(self.resumed(self.world.vm(vm), key))

    @rule(vm=VMS, key=KEYS)
    def deliver(self, vm, key):
        upload = keyed_id("lataus", "uni", key)
        self.tasks.append(self.world.deliveries(self.world.vm(vm)).deliver(upload))

    @rule(vm=VMS)
    def clean_up(self, vm):
        orphans = self.world.orphans(self.world.vm(vm), abandon_after=50.0, retention=1e9)
        self.tasks.append(orphans.step(self.world.clock.wall()))

    @rule(data=st.data(), steps=st.integers(1, 25))
    def drive(self, data, steps):
        if not self.tasks:
            return
        task = data.draw(st.sampled_from(self.tasks))
        try:
            for _ in range(steps):
                task.send(None)
        except (StopIteration, SequoiaError):
            self.tasks.remove(task)

    @rule(data=st.data())
    def kill(self, data):
        if self.tasks:
            task = data.draw(st.sampled_from(self.tasks))
            task.close()
            self.tasks.remove(task)

    @rule(seconds=st.sampled_from([1.0, 40.0]))
    def time_passes(self, seconds):
        self.world.clock.advance(seconds)

    @rule(fault=st.sampled_from(["lose_writes", "lose_answers", "late", "lose_reads", "reject"]))
    def platform_fails(self, fault):
        setattr(self.world.tables.faults, fault, 1)
        setattr(self.world.objects.faults, fault, 1)

    @rule(down=st.booleans())
    def upstream_changes(self, down):
        self.world.upstream.down = down
        self.world.upstream.lose_answers = 1 - down

    @rule()
    def late_writes_land(self):
        self.world.tables.land_late()
        self.world.objects.land_late()

    @invariant()
    def nothing_half_and_nothing_missing(self):
        self.world.check(BY_ID)

    def teardown(self):
        faults = (self.world.tables.faults, self.world.objects.faults)
        for fault in faults:
            fault.reject = fault.lose_writes = fault.lose_answers = fault.late = 0
            fault.lose_reads = 0
        self.late_writes_land()
        self.world.recover()
        self.world.check(BY_ID)
        assert self.told <= set(self.world.upstream.kept)
        # Tasks that were paused wake up after all is over, and change nothing.
        for task in self.tasks:
            try:
                finish(task)
            except SequoiaError:
                pass
        self.world.recover()
        self.world.check(BY_ID)
        assert self.told <= set(self.world.upstream.kept)

    async def told_by(self, vm, request):
        received = await vm.receive(request)
        if received.state not in (UploadState.OPEN, UploadState.ABANDONED):
            self.told.add(received.id)

    async def resumed(self, vm, key):
        upload = keyed_id("lataus", "uni", key)
        found = await vm.receive(incoming(b"", upload_id=upload))
        rest = CONTENTS[key][found.offset :]
        await self.told_by(vm, incoming(rest, upload_id=upload, offset=found.offset))


TestUploading = Uploading.TestCase
TestUploading.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
