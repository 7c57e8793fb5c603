"""What metrics and the journal cost a call, and how long a scrape holds up other tasks.

Run by `python -m sequoiabridge.benchmarks.observation`; the last line has the figures.
"""

import time
import timeit

import curio
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from ..metrics import LATENCY_BUCKETS, Metrics
from ..operators.journal import Journal
from ..timers import SystemClock

CALLS = 50_000
ROUNDS = 7
SERVICES = 170
KINDS = 3


def microseconds(call) -> float:
    """Return the least time of one call over some rounds, in microseconds."""
    return min(timeit.repeat(call, number=CALLS, repeat=ROUNDS)) / CALLS * 1e6


def library():
    """Return the same count by prometheus_client: labels looked up each time, and cached."""
    registry = CollectorRegistry()
    labels = ["service", "kind"]
    calls = Counter("calls", "Calls.", [*labels, "status"], registry=registry)
    seconds = Histogram("s", "Time.", labels, buckets=LATENCY_BUCKETS, registry=registry)
    window = Counter("window", "In window.", [*labels, "in_window"], registry=registry)

    def looked_up():
        calls.labels("spendview", "read", "2xx").inc()
        seconds.labels("spendview", "read").observe(0.012)
        window.labels("spendview", "read", "yes").inc()

    children = {
        ("spendview", "read", 2, True): (
            calls.labels("spendview", "read", "2xx"),
            seconds.labels("spendview", "read"),
            window.labels("spendview", "read", "yes"),
        )
    }

    def cached():
        child = children["spendview", "read", 2, True]
        child[0].inc()
        child[1].observe(0.012)
        child[2].inc()

    return looked_up, cached


async def longest_gap(work) -> tuple[float, float]:
    """Return how long `work` took, and the longest time another task waited, in ms."""
    gaps = []

    async def tick():
        last = time.perf_counter()
        while True:
            await curio.sleep(0)
            now = time.perf_counter()
            gaps.append(now - last)
            last = now

    ticking = await curio.spawn(tick())
    await curio.sleep(0)
    start = time.perf_counter()
    await work()
    took = time.perf_counter() - start
    await curio.sleep(0)
    await ticking.cancel()
    return took * 1000, max(gaps) * 1000


def scrapes(metrics: Metrics) -> tuple[list[float], list[float]]:
    """Return took and longest gap of a scrape at once and of one in pieces, each its best."""

    async def at_once():
        generate_latest(metrics.registry)

    whole = min((curio.run(longest_gap, at_once) for _ in range(ROUNDS)), key=lambda r: r[1])
    cut = min((curio.run(longest_gap, metrics.text) for _ in range(ROUNDS)), key=lambda r: r[1])
    return whole, cut


def main() -> None:
    """Print the figures."""
    metrics = Metrics()
    journal = Journal(SystemClock(), "vm1")
    looked_up, cached = library()
    costs = {
        "library, labels looked up": microseconds(looked_up),
        "library, children cached": microseconds(cached),
        "Metrics.answered": microseconds(
            lambda: metrics.record_call("spendview", "read", 200, 0.012, True)
        ),
        "Journal.record": microseconds(
            lambda: journal.record("id", "spendview", "read", "u1", 200, 0.012, 5.0)
        ),
    }
    for name, cost in costs.items():
        print(f"{name}: {cost:.2f} us a call")
    for number in range(SERVICES * KINDS):
        metrics.record_call(
            f"service-{number // KINDS}", f"kind-{number % KINDS}", 200, 0.012, True
        )
    whole, cut = scrapes(metrics)
    print(f"scrape of {SERVICES * KINDS} series at once: {whole[0]:.1f} ms, gap {whole[1]:.1f} ms")
    print(f"scrape of {SERVICES * KINDS} series in pieces: {cut[0]:.1f} ms, gap {cut[1]:.1f} ms")
    own = costs["Metrics.answered"] + costs["Journal.record"]
    print(f"own {own:.2f} us a call, longest gap of a scrape {cut[1]:.1f} ms")


if __name__ == "__main__":
    main()
