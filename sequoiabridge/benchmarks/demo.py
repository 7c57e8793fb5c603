"""`make demo`: a small platform, upstreams, three daemons, and real calls through them."""

import sys
import time

import curio

from .calls import Call, Caller
from .oracle import Evidence, Kind, Told, judge
from .processes import Trial
from .scene import SERVICES, Scene, ServiceSpec

DELIVERY_TIMEOUT = 15.0
"""Seconds within which accepted uploads must have reached an upstream."""


class Demo:
    """The steps of the demo, each printed in a line or two."""

    def __init__(self, scene: Scene):
        self.scene = scene
        self.caller = Caller(patience=10.0)
        self.told: list[Told] = []
        self.entries = [daemon.callers for daemon in scene.daemons]

    async def run(self) -> None:
        """Send all calls."""
        for kind in Kind:
            for spec in SERVICES:
                if spec.kind is kind:
                    await self.service(spec)
        await self.lose_an_upstream()
        await self.caller.close()

    async def service(self, spec: ServiceSpec) -> None:
        """Send the calls of one service and print what each got."""
        nonce = f"{spec.name}-1"
        key = f"key-{nonce}" if spec.kind is Kind.APPROVAL else ""
        times = 1 if spec.kind is Kind.UPLOAD else 2
        for number in range(times):
            told = await self.send(spec, nonce, number, key)
            print(f"{spec.name:18} {spec.kind.value:9} {describe(told)}")
        if key:
            ran = sum(run.nonce == nonce for run in self.scene.runs())
            print(f"{'':18} sent twice with one key, ran {ran} time")

    async def lose_an_upstream(self) -> None:
        """Kill an upstream and show that calls go on."""
        spec = SERVICES[0]
        self.scene.upstreams[f"{spec.name}-1"].kill()
        got = [await self.send(spec, f"after-{n}", n, "") for n in range(20)]
        good = sum(told.good for told in got)
        print(f"killed {spec.name}-1: {good} of {len(got)} reads answered after it")

    async def send(self, spec: ServiceSpec, nonce: str, number: int, key: str) -> Told:
        """Send one call to the daemons in turn."""
        work = spec.work()
        body = (nonce.encode() * work.size)[: work.size]
        entry = self.entries[len(self.told) % len(self.entries)]
        attempt = f"{nonce}.{number}"
        call = Call(work.kind, work.method, work.host, work.path, nonce, attempt, "demo", key, body)
        told = await self.caller.call(entry, call, work.window)
        self.told.append(told)
        return told


def describe(told: Told) -> str:
    """Say in one line what a caller was told."""
    milliseconds = (told.ended - told.began) * 1000
    made_by = f"outcome {told.outcome} ({told.reason})" if told.outcome else "answer whole"
    if not told.whole:
        made_by = f"cut short {told.error}"
    return f"-> {told.status} {made_by}, {milliseconds:.1f} ms, request {told.request}"


def wait_for_uploads(scene: Scene, told: list[Told]) -> None:
    """Wait until each accepted upload has reached an upstream."""
    end = time.monotonic() + DELIVERY_TIMEOUT
    wanted = {t.digest for t in told if t.kind is Kind.UPLOAD and t.good}
    while wanted - {run.digest for run in scene.runs()} and time.monotonic() < end:
        time.sleep(0.2)


def main() -> int:
    """Run the demo; the exit status is 0 if everything held."""
    started = time.monotonic()
    with Trial() as trial:
        scene = Scene(trial, daemons=3)
        scene.start()
        print(f"platform, {len(scene.upstreams)} upstreams and 3 daemons are ready")
        demo = Demo(scene)
        curio.run(demo.run)
        wait_for_uploads(scene, demo.told)
        statuses = scene.stop()
        print(f"daemons stopped, exit statuses {statuses}")
        broken = judge(Evidence(scene.runs(), demo.told))
        bad = [told for told in demo.told if not told.good]
    for violation in broken:
        print(f"BROKEN {violation}")
    for told in bad:
        print(f"not answered well: {told}")
    took = time.monotonic() - started
    print(f"{len(demo.told)} calls, {len(bad)} not good, {len(broken)} broken, {took:.0f} s")
    return 1 if broken or bad or any(statuses) else 0


if __name__ == "__main__":
    sys.exit(main())
