"""What a claim costs: writes per approval, approvals a second at the store's rate, added time.

Each VM is a store client of its own with its share of the rates, all in this process, against
the stand-in platform in another process over loopback. Nothing is sent to an upstream: an
approval is one claim and one report that it is done.
"""

import logging
import random
import subprocess
import sys
import time

import curio
import defopt

from ..platform.services import PlatformObjects, PlatformTables
from ..store.claim_results import ClaimGranted
from ..store.claims import Claims
from ..store.client import StoreClient
from ..timers import SystemClock

HEADING = (
    "load   counted by   grouped  approvals/s  calls/approval  claim p50 ms  p99 ms"
    "  refused  unproven"
)

WINDOW = 2.0
"""Seconds in which an approval must be claimed."""

LIGHT_RATE = 1.0
"""Approvals a second and VM in the runs that measure added time."""


class Case:
    """One row of the table: how the platform counts writes, grouping, and the load."""

    __slots__ = ("unit", "grouping", "workers", "light")

    def __init__(self, unit: str, grouping: bool, workers: int, light: bool):
        self.unit = unit
        self.grouping = grouping
        self.workers = workers
        self.light = light


class Measured:
    """What one case gave; times in seconds."""

    __slots__ = ("done", "unproven", "refused", "times")
    __slots__ += ("writes", "rejected", "splits", "seconds")

    def __init__(self):
        self.done = self.unproven = self.refused = self.writes = self.rejected = self.splits = 0
        self.times: list[float] = []
        self.seconds = 0.0

    def percentile_ms(self, share: float) -> float:
        """Return the claim's time in ms that `share` of the claims stay under."""
        ordered = sorted(self.times) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


async def approve(claims: Claims, key: str, measured: Measured) -> None:
    """Claim, and report as done; only the claim is in the caller's way."""
    started = time.monotonic()
    result = await claims.acquire("hyvaksynta", "caller", key, "digest", started + WINDOW)
    if not isinstance(result, ClaimGranted):
        measured.refused += 1
        return
    measured.times.append(time.monotonic() - started)
    if await claims.complete(result, 200, [], b"ok"):
        measured.done += 1
    else:
        measured.unproven += 1


async def work(
    claims: Claims, name: str, case: Case, until: float, seeded: random.Random, measured: Measured
) -> None:
    """Make one approval after the other until the run is over."""
    number = 0
    while time.monotonic() < until:
        if case.light:
            await curio.sleep(seeded.expovariate(LIGHT_RATE / case.workers))
        number += 1
        await approve(claims, f"{name}-{number}", measured)


async def run_case(address: str, case: Case, vms: int, writes: float, seconds: float) -> Measured:
    """Run all VMs for `seconds`."""
    clock, measured = SystemClock(), Measured()
    clients = [
        StoreClient(
            PlatformTables(address, clock),
            PlatformObjects(address, clock),
            clock,
            lambda: vms,
            writes,
            2000.0,
            grouping=case.grouping,
            count_rows=case.unit == "row",
        )
        for _ in range(vms)
    ]
    started = time.monotonic()
    async with curio.TaskGroup() as group:
        for vm, client in enumerate(clients):
            claims = Claims(client, clock, f"vm{vm}")
            for worker in range(case.workers):
                name = f"{vm}-{worker}"
                seeded = random.Random(name)
                until = started + seconds
                await group.spawn(work, claims, name, case, until, seeded, measured)
    measured.seconds = time.monotonic() - started
    for client in clients:
        measured.writes += client.counts.writes
        measured.rejected += client.counts.rejected
        measured.splits += client.counts.splits
    return measured


def with_platform(case: Case, vms: int, writes: float, seconds: float) -> Measured:
    """Run a case against a platform process of its own."""
    command = [sys.executable, "-m", "sequoiabridge.tests.platform.service"]
    command += ["--writes", str(writes), "--reads", "2000"]
    if case.unit == "row":
        command.append("--count-rows")
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            address = process.stdout.readline().strip()
            return curio.run(run_case, address, case, vms, writes, seconds)
        finally:
            process.terminate()


def main(*, vms: int = 18, writes: float = 300.0, seconds: float = 5.0, workers: int = 8) -> None:
    """Print one row for each case and the figures as the last line.

    :param vms: VMs that share the rate
    :param writes: the platform's writes a second for the whole fleet
    :param seconds: length of each run
    :param workers: approvals in progress on each VM in the runs at the limit
    """
    logging.getLogger("curio.time").setLevel(logging.ERROR)
    print(f"{vms} VMs, {writes:g} writes/s for the fleet, {seconds:g} s a run")
    print(HEADING)
    results = {}
    for unit in ("transaction", "row"):
        for grouping in (False, True):
            for light in (True, False):
                case = Case(unit, grouping, 1 if light else workers, light)
                measured = with_platform(case, vms, writes, seconds)
                results[(unit, grouping, light)] = measured
                print_row(case, measured)
    single, grouped = (results[("transaction", on, False)] for on in (False, True))
    light = results[("transaction", True, True)]
    print(
        f"writes per approval {single.writes / max(1, single.done):.2f}"
        f" grouped {grouped.writes / max(1, grouped.done):.2f},"
        f" approvals/s {single.done / single.seconds:.0f}"
        f" grouped {grouped.done / grouped.seconds:.0f},"
        f" added p50 {light.percentile_ms(0.5):.1f} p99 {light.percentile_ms(0.99):.1f} ms"
    )


def print_row(case: Case, measured: Measured) -> None:
    """Print one row of the table."""
    print(
        f"{'light' if case.light else 'limit':6} {case.unit:12} {str(case.grouping):8}"
        f" {measured.done / measured.seconds:11.0f}"
        f" {measured.writes / max(1, measured.done):15.2f}"
        f" {measured.percentile_ms(0.5):13.1f} {measured.percentile_ms(0.99):7.1f}"
        f" {measured.refused:8} {measured.unproven:9}"
    )


if __name__ == "__main__":
    defopt.run(main)
