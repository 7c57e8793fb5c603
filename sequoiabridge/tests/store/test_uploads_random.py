"""Random interleavings of writers, deliverers, clean-ups and faults on several VMs."""

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
STEPS = st.integers(0, 40)


class UploadMachine(RuleBasedStateMachine):
    """Runs tasks a few steps at a time, pauses them, or closes them as a killed VM would."""

    @initialize()
    def build(self):
        self.world = World()
        self.tasks = []
        self.accepted_ids = set()

    @rule(vm=VMS, key=KEYS, cut=st.one_of(st.none(), st.integers(0, 17)), steps=STEPS)
    def start(self, vm, key, cut, steps):
        data = CONTENTS[key]
        cut = None if cut is None or cut >= len(data) else cut
        self.start_task(self.receive(self.world.vm(vm), incoming(data, cut, key=key)), steps)

    @rule(vm=VMS, key=KEYS, steps=STEPS)
    def resume(self, vm, key, steps):
        self.start_task(self.resume_upload(self.world.vm(vm), key), steps)

    @rule(vm=VMS, key=KEYS, steps=STEPS)
    def deliver(self, vm, key, steps):
        upload = keyed_id("lataus", "uni", key)
        self.start_task(self.world.deliveries(self.world.vm(vm)).deliver(upload), steps)

    @rule(vm=VMS, abandon_after=st.sampled_from([0.0, 50.0, 1e9]), steps=STEPS)
    def clean_up(self, vm, abandon_after, steps):
        orphans = self.world.orphans(self.world.vm(vm), abandon_after=abandon_after, retention=1e9)
        self.start_task(orphans.step(self.world.clock.wall()), steps)

    def start_task(self, task, steps):
        self.tasks.append(task)
        self.run_steps(task, steps)

    def run_steps(self, task, steps):
        try:
            for _ in range(steps):
                task.send(None)
        except (StopIteration, SequoiaError):
            self.tasks.remove(task)

    @rule(data=st.data(), steps=STEPS)
    def drive(self, data, steps):
        if self.tasks:
            self.run_steps(data.draw(st.sampled_from(self.tasks)), steps)

    @rule(data=st.data())
    def drive_to_the_end(self, data):
        if self.tasks:
            self.run_steps(data.draw(st.sampled_from(self.tasks)), 10_000)

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
    def contents_are_complete(self):
        self.world.check(BY_ID)

    def teardown(self):
        faults = (self.world.tables.faults, self.world.objects.faults)
        for fault in faults:
            fault.reject = fault.lose_writes = fault.lose_answers = fault.late = 0
            fault.lose_reads = 0
        self.late_writes_land()
        self.world.recover()
        self.world.check(BY_ID)
        assert self.accepted_ids <= set(self.world.upstream.kept)
        # Paused tasks that go on after the recovery change nothing.
        for task in self.tasks:
            try:
                finish(task)
            except SequoiaError:
                pass
        self.world.recover()
        self.world.check(BY_ID)
        assert self.accepted_ids <= set(self.world.upstream.kept)

    async def receive(self, vm, request):
        received = await vm.receive(request)
        if received.state not in (UploadState.OPEN, UploadState.ABANDONED):
            self.accepted_ids.add(received.id)

    async def resume_upload(self, vm, key):
        upload = keyed_id("lataus", "uni", key)
        found = await vm.receive(incoming(b"", upload_id=upload))
        rest = CONTENTS[key][found.offset :]
        await self.receive(vm, incoming(rest, upload_id=upload, offset=found.offset))


TestUploading = UploadMachine.TestCase
TestUploading.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
