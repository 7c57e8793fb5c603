"""Half of the machines lose power together, right after a change of the desired state.

Eight daemons in two zones. Those that are lost are the four that last said in their logs that they
watch the store. They come back two seconds later.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import (  # noqa: E402
    Daemon,
    Instance,
    Record,
    Requester,
    Store,
    desired_state,
    finish,
    has_trouble,
    route,
)

SEED = int(os.environ.get("SEED", "1"))
ZONES = ("zone-a", "zone-b")
DAEMONS_PER_ZONE = 4
SERVICES = ("first", "second")
INSTANCES_PER_ZONE = 2
REQUESTS_PER_S = 12.0
"""Requests a second to each daemon."""

EVENTS, EVENT_S, START_S = 11, 9.07, 5.0
DARK_S = 2.0
CONFIG_APPLY_S, STABLE_WINDOW_S = 2.0, 3.0


def watchers(daemons):
    """Return the daemons that watch the store by their logs, in the order of their precedence."""
    found = []
    for one in daemons:
        lines = one.log.read_text(errors="replace").splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        changes = [e for e in events if e["event"] in ("watches-store", "leaves-store-to-others")]
        if changes and changes[-1]["event"] == "watches-store":
            found.append(one)
    return found


def choose_lost(daemons):
    """Return the daemons that lose power: those that watch the store, half of all at most."""
    return watchers(daemons)[: len(daemons) // 2]


def state(version):
    """Return a desired state; the route goes to the other service with each version."""
    service = SERVICES[version % 2]
    routes = [route("/moved/", "idempotent", service, max_attempts=1)]
    return desired_state(routes, SERVICES, version)


class Case:
    """The deployment, and what the judge needs to know.

    Attributes:
        acks: Time of the ack of each version.
        disturbed: Times from and until which a daemon was not as it should be, by name.
        sent: Time and daemon of each request.
    """

    def __init__(self):
        self.record = Record(FOLDER / "record.txt")
        self.store = Store()
        self.instances = []
        self.daemons = []
        self.acks = []
        self.disturbed = {}
        self.sent = {}

    async def start(self, folder):
        """Start all parts; return whether all daemons are ready."""
        await self.store.start()
        for service in SERVICES:
            for zone in ZONES:
                for n in range(INSTANCES_PER_ZONE):
                    one = Instance(self.record, f"{service}-{zone}-{n}", service, zone, 0.02)
                    await one.start()
                    self.instances.append(one)
                    self.store.put("servers", one.id, one.entry())
        self.change()
        for zone in ZONES:
            for n in range(DAEMONS_PER_ZONE):
                one = Daemon(folder, f"edge-{zone}-{n}", self.store.address, zone)
                one.start()
                self.daemons.append(one)
        ready = [await one.wait_ready() for one in self.daemons]
        for one in self.daemons:
            one.write_settings(self.store.address, one.zone, False)
            self.disturbed[one.name] = []
        return all(ready)

    def change(self):
        """Write the next desired state."""
        version = len(self.acks) + 1
        self.store.put("op", "config", state(version))
        self.acks.append(self.record.now())
        self.record.add("ack", version=version, service=SERVICES[version % 2])

    async def disturb(self):
        """Change the desired state again and again; each time some machines lose power."""
        for event in range(EVENTS):
            await asyncio.sleep(max(0.0, START_S + event * EVENT_S - self.record.now()))
            lost = choose_lost(self.daemons) if has_trouble() else []
            self.change()
            for one in lost:
                one.signal(signal.SIGKILL)
            began = self.record.now()
            self.record.add("lost", daemons=",".join(one.name for one in lost) or "none")
            await asyncio.sleep(DARK_S)
            for one in lost:
                one.process.wait()
                one.start()
            for one in lost:
                await one.wait_ready()
                self.disturbed[one.name].append((began, self.record.now() + STABLE_WINDOW_S))

    async def make_requests(self):
        """Make requests at all daemons until the end."""
        requesters = {one.name: Requester(self.record, one.front) for one in self.daemons}
        rng, tasks, names = random.Random(SEED), [], sorted(requesters)
        end = START_S + EVENTS * EVENT_S
        while self.record.now() < end:
            name, id = rng.choice(names), f"m{len(tasks):06d}"
            self.sent[id] = (self.record.now(), name)
            call = requesters[name].call(id, "/moved/one", method="GET", at=name)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S * len(names)))
        await asyncio.gather(*tasks)

    def judge(self):
        """Write and print which requests only an older version allows; return their number."""
        ran_by = {id: one.service for one in self.instances for id, _ in one.runs}
        late = []
        for id, (at, name) in self.sent.items():
            acked = [v for v, ack in enumerate(self.acks, 1) if at > ack + CONFIG_APPLY_S] or [1]
            pending = [v for v, ack in enumerate(self.acks, 1) if at > ack]
            if id not in ran_by or any(
                began - STABLE_WINDOW_S <= at <= end for began, end in self.disturbed[name]
            ):
                continue
            allowed = {SERVICES[version % 2] for version in {acked[-1], *pending[len(acked) :]}}
            if ran_by[id] not in allowed:
                late.append(id)
                seconds = at - self.acks[acked[-1] - 1]
                self.record.add(
                    "CONFIG", id=id, at=name, ran_by=ran_by[id], after_ack=f"{seconds:.3f}"
                )
                print(f"{id} at {name}: {seconds:.3f} s after the ack, run by {ran_by[id]}")
        print(f"requests {len(self.sent)}, run {len(ran_by)}, by an old version {len(late)}")
        return len(late)


async def main():
    case = Case()
    folder = tempfile.mkdtemp(prefix="review-6-")
    try:
        if not await case.start(folder):
            raise RuntimeError("a daemon is not ready")
        case.record.began += (passed := case.record.now())
        case.acks = [ack - passed for ack in case.acks]
        disturbing = asyncio.create_task(case.disturb())
        await case.make_requests()
        await disturbing
    finally:
        for one in case.daemons:
            one.kill()
        shutil.rmtree(folder, ignore_errors=True)
    broken = case.judge()
    case.record.write()
    finish(int(broken > 0), "the rule was broken" if broken else "the rule held")


try:
    asyncio.run(main())
except Exception as error:  # The case could not run.
    finish(2, repr(error))
