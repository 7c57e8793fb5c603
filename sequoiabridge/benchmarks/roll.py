"""`make roll`: a rolling replacement of six daemons under a mixed load."""

import signal
import sys
import time

import curio
import defopt
from curio import run_in_thread

from .load import Entries, Load, Summary
from .oracle import Evidence, Promise, Told, judge
from .processes import Trial
from .scene import SERVICES, Daemon, Scene
from .soak import settle

STEADY = 10.0
"""Seconds of steady load before the first replacement."""
STOP_TIMEOUT = 60.0
"""Seconds that a planned stop may take here."""


class Roll:
    """Replaces one daemon after the other; the new one has other addresses."""

    def __init__(self, scene: Scene, load: Load):
        self.scene = scene
        self.load = load
        self.statuses: list[int] = []
        self.began = 0.0
        self.ended = 0.0

    async def run(self, rate: float) -> None:
        """Send the load, steady at first and then while all daemons are replaced."""
        checks = await curio.spawn(self.load.entries.check, daemon=True)
        sending = await curio.spawn(self.load.run, rate, 3600.0)
        await curio.sleep(STEADY)
        self.began = time.time()
        for daemon in list(self.scene.daemons):
            await self.replace(daemon)
        self.ended = time.time()
        await curio.sleep(1.0)
        self.load.stopped = True
        await sending.join()
        await checks.cancel()
        await settle(self.scene, self.load)

    async def replace(self, old: Daemon) -> None:
        """Start a new daemon, wait until it is ready, and stop the old one as planned."""
        new = self.scene.new_daemon(f"{old.name}-new")
        self.scene.daemons.append(new)
        self.scene.start_daemon(new)
        await run_in_thread(self.scene.wait_ready, [new])
        self.load.entries.health[new.callers] = new.admin
        old.process.signal(signal.SIGTERM)
        self.statuses.append(await run_in_thread(old.process.wait, STOP_TIMEOUT))
        self.scene.daemons.remove(old)
        del self.load.entries.health[old.callers]


def during(all_told: list[Told], since: float, until: float) -> list[Told]:
    """Return what callers were told whose call began within a time."""
    return [told for told in all_told if since <= told.began < until]


def main(*, daemons: int = 6, rate: float = 80.0, seed: int = 1) -> int:
    """Run the rolling replacement.

    :param daemons: Daemons that are replaced, one after the other.
    :param rate: Calls a second.
    :param seed: Seed of the load.
    """
    with Trial() as trial:
        scene = Scene(trial, daemons)
        scene.start()
        load = Load(Entries(scene.health(), seed), [spec.work() for spec in SERVICES], seed)
        roll = Roll(scene, load)
        curio.run(roll.run, rate)
        last = scene.stop()
        broken = judge(Evidence(scene.runs(), load.told))
    print(f"exit statuses {roll.statuses} {last}")
    print(f"steady    {Summary(during(load.told, 0.0, roll.began))}")
    print(f"replacing {Summary(during(load.told, roll.began, roll.ended))}")
    for violation in broken[:30]:
        print(f"BROKEN {violation}")
    for told in [told for told in load.told if not told.whole][:10]:
        print(f"cut off {told}")
    for told in [told for told in load.told if told.whole and not told.good][:10]:
        print(f"refused {told.kind.value} {told.status} {told.outcome} {told.reason}")
    doubled = sum(violation.promise is Promise.AT_MOST_ONCE for violation in broken)
    lost = sum(violation.promise is Promise.UPLOADS for violation in broken)
    cut_off = sum(not told.whole for told in load.told)
    print(f"sent {len(load.told)}, cut off {cut_off}, doubled {doubled}, lost {lost}")
    return 1 if broken or cut_off or any(roll.statuses + last) else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
