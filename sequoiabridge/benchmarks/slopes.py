"""What a daemon's state and CPU grow with: services, instances, calls, changes, VMs.

Small and in this process: the daemon's own document, pools and fleet nodes at several sizes. The
slopes of calls and of the store come from their own benchmarks, run as processes with short runs.
Run by `make slopes`; docs/CAPACITY.md works with these figures.
"""

import gc
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from random import Random

import defopt

from ..config.change import Change
from ..config.document import Document
from ..fleet.base import Urgency
from ..metrics import Metrics
from ..pipeline.services import Services
from ..pipeline.sharing import LOAD_INTERVAL, Sharing
from ..policy.base import LoadReport
from ..timers import ManualClock
from .configuration import content, upstream_entry

SIZES = ((170, 170), (170, 1400), (170, 5600), (340, 5600))
"""Services and upstreams."""
POOLS = (10, 33, 100, 330, 1000)
FLEETS = (18, 50, 100, 200, 500)
CALLS = 20_000
CHANGES = 40
LOOKS = round(1 / LOAD_INTERVAL)
"""Looks a second at what is worth telling."""
LATENCY = 0.006
"""Seconds that a call takes in the policy's slopes."""


class Silent:
    """A fleet that only takes what is published."""

    def __init__(self):
        self.bucket = self

    def subscribe(self, kind, callback) -> None:
        """Hear nothing."""

    def room(self, urgency: Urgency) -> float:
        """Return the room of an idle bucket."""
        return 1500.0

    def publish(self, item, urgency: Urgency) -> None:
        """Send nothing."""


def services_of(clock: ManualClock, document: Document) -> Services:
    """Return the policy state of a document."""
    services = Services(clock, Random(1), lambda address, count: None, lambda: 18)
    services.update(document)
    return services


def document_of(services: int, upstreams: int) -> Document:
    """Return a document of the given size."""
    return Document.empty().with_change(content(services, upstreams), 1, "slopes", 0.0).ok


def traced(make: Callable[[], object]) -> tuple[object, float]:
    """Return what `make` returns, and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def mean_us(action: Callable[[int], object], rounds: int) -> float:
    """Return the mean time of `action` in microseconds."""
    start = time.perf_counter()
    for number in range(rounds):
        action(number)
    return (time.perf_counter() - start) / rounds * 1e6


def state_slopes() -> dict[tuple[int, int], float]:
    """Print state by size; return the bytes of document and policy state by size."""
    print("services upstreams  document KB  policy KB  one change ms  idle look us")
    totals = {}
    for size in SIZES:
        document, held = traced(lambda size=size: document_of(*size))
        clock = ManualClock()
        services, policy = traced(lambda d=document, c=clock: services_of(c, d))
        sharing = Sharing("vm", services, Silent(), Metrics(), clock)
        change = mean_us(lambda n, s=services, z=size: drain(s, n, z), CHANGES) / 1000
        idle = mean_us(lambda n, s=sharing: s.publish_load(), 200)
        totals[size] = held + policy
        cells = f"{held / 1024:12.0f} {policy / 1024:10.0f} {change:14.2f} {idle:13.1f}"
        print(f"{size[0]:8d} {size[1]:9d} {cells}", flush=True)
    return totals


def drain(services: Services, number: int, size: tuple[int, int]) -> None:
    """Apply one change of one upstream to document and policy."""
    change = Change([upstream_entry(number % size[1], size[0], "yes" if number % 2 else "no")])
    services.update(services.document.with_change(change, number + 2, "slopes", 0.0).ok)


def call_slopes() -> dict[int, float]:
    """Print the policy's cost of a call by pool size; return the microseconds."""
    print("\nupstreams of the service  choice us  choice and outcome us")
    whole = {}
    for size in POOLS:
        clock = ManualClock(100.0)
        pool = services_of(clock, document_of(1, size)).by_name["service-0"].pool
        choice = mean_us(lambda n, p=pool: p.choose(100.0 + n / 1e4), CALLS)
        whole[size] = mean_us(lambda n, p=pool: one_call(p, 200.0 + n / 1e3), CALLS)
        print(f"{size:24d} {choice:10.2f} {whole[size]:22.2f}", flush=True)
    return whole


def one_call(pool, now: float) -> None:
    """Choose, send, and take in an answer with a load report."""
    upstream = pool.choose(now)
    pool.record_send(upstream, now)
    pool.record_answer(upstream, now + LATENCY, 200, LATENCY, LoadReport(1, 2, 0.0))


def sharing_slopes() -> float:
    """Print what sharing load costs by busy upstreams; return the microseconds of one."""
    print("\nbusy upstreams of 5,600  looks ms a second  probing's look us (each 20 ms)")
    clock = ManualClock(100.0)
    services = services_of(clock, document_of(170, 5600))
    sharing = Sharing("vm", services, Silent(), Metrics(), clock)
    times = {}
    for busy in (100, 500, 2000):
        now = clock.now()
        for number in range(busy):
            state = services.by_name[f"service-{number % 170}"]
            services.record_call(state, now)
            one_call(state.pool, now - LATENCY)
        times[busy] = mean_us(lambda n: sharing.publish_load(), 5 * LOOKS) * LOOKS / 1000
        look = mean_us(lambda n, c=now: due(services, c), 20)
        print(f"{busy:23d} {times[busy]:18.2f} {look:32.0f}", flush=True)
        clock.advance(30.0)
    return (times[2000] - times[100]) * 1000 / 1900


def due(services: Services, now: float) -> None:
    """Do what probing does at each look."""
    for state in services.busy_states(now):
        state.probe_budget.background_targets(state.pool, now)


def outside(title: str, module: str, *arguments: str) -> str:
    """Run another benchmark; print and return its last line."""
    done = subprocess.run(
        [sys.executable, "-m", f"sequoiabridge.benchmarks.{module}", *arguments],
        capture_output=True,
        text=True,
        timeout=400,
    )
    lines = done.stdout.strip().splitlines() or ["no output"]
    rows = [line for line in lines if line.startswith(("direct", "bare", "ours"))]
    print(f"\n{title}")
    for line in [*rows, lines[-1]]:
        print(f"  {line}")
    return lines[-1]


def fleet_slopes(sizes: tuple[int, ...]) -> None:
    """Print the fleet's slopes; each size in a process of its own, one after the other."""
    print(
        "\n    VMs complete_s  bytes/s     most    CPU_%  tick+msgs_us   KB/VM in_force_s known_s"
    )
    for size in sizes:
        code = f"from sequoiabridge.benchmarks.fleet import slope; slope({size})"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        print(done.stdout.rstrip() or done.stderr[-300:], flush=True)


def run(*, largest: int = 200, only_here: bool = False) -> None:
    """Print all slopes; the last line has those of state and of the policy.

    :param largest: members of the largest fleet; 500 takes some minutes more
    :param only_here: leave out what other benchmarks measure
    """
    totals = state_slopes()
    calls = call_slopes()
    busy = sharing_slopes()
    if not only_here:
        fleet_slopes(tuple(size for size in FLEETS if size <= largest))
        outside("a call through the daemon", "hop_daemon", "--callers=0", "--megabytes=0")
        outside("approvals", "claims", "--seconds=3")
        outside("uploads", "upload", "--turns=1")
    upstream = (totals[SIZES[2]] - totals[SIZES[0]]) / (SIZES[2][1] - SIZES[0][1])
    service = (totals[SIZES[3]] - totals[SIZES[2]]) / (SIZES[3][0] - SIZES[2][0])
    print(
        f"\nper upstream {upstream / 1024:.2f} KB, per service {service / 1024:.1f} KB, at 170 and "
        f"5,600 {totals[SIZES[2]] / 1e6:.1f} MB; policy per call {calls[33]:.0f} us at 33, "
        f"{calls[1000]:.0f} at 1,000; sharing {busy:.1f} us a second per busy upstream"
    )


if __name__ == "__main__":
    defopt.run(run, no_negated_flags=True)
