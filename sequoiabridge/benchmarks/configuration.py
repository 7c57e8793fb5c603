"""What a document of the fleet's configuration costs: one change, one lookup, memory, bytes.

Run by `make bench-document`; the last line has the figures.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

from ..config.change import Change, SetEntry
from ..config.document import Document

SERVICES = 170
UPSTREAMS = 5600
RULES_EACH = 6
ROUNDS = 300
LOOKUPS = 20_000


def content(services: int = SERVICES, upstreams: int = UPSTREAMS) -> Change:
    """Return the change that makes a document of the given size from the empty one."""
    entries = []
    for number in range(services):
        name = f"service-{number}"
        options = {"hosts": f"{name}.example.org", "path_prefix": "/api", "tail_weight": "0.3"}
        entries.append(SetEntry("service", name, options))
        entries.append(SetEntry("pool", f"pool-{number}", {"service": name}))
        for place in range(RULES_EACH):
            options = {
                "service": name,
                "order": str(place),
                "methods": "GET, HEAD" if place % 2 else "POST",
                "path": f"/api/kind-{place}/*/part/**",
                "idempotent": "yes" if place % 2 else "no",
                "window": "800ms",
            }
            entries.append(SetEntry("rule", f"rule-{number}-{place}", options))
    for number in range(upstreams):
        entries.append(upstream_entry(number, services))
    return Change(entries)


def upstream_entry(number: int, services: int, drained: str = "no") -> SetEntry:
    """Return the entry of one upstream."""
    options = {
        "pool": f"pool-{number % services}",
        "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8080",
        "data_centre": f"dc-{number % 4}",
        "drained": drained,
    }
    return SetEntry("upstream", f"upstream-{number}", options)


def median_ms(action: Callable[[int], object], rounds: int) -> tuple[float, float]:
    """Return median and 99th percentile of the time of `action`, in ms."""
    times = []
    for number in range(rounds):
        start = time.perf_counter()
        action(number)
        times.append((time.perf_counter() - start) * 1000)
    times.sort()
    return statistics.median(times), times[int(len(times) * 0.99)]


def lookups_us(document: Document) -> float:
    """Return the mean time to find service and rule of a call, in microseconds."""
    calls = [
        (f"service-{n % SERVICES}.example.org".encode(), f"/api/kind-5/{n}/part/a".encode())
        for n in range(LOOKUPS)
    ]
    for _ in range(2):
        start = time.perf_counter()
        for host, path in calls:
            service = document.service_for(host, path)
            document.rule_for(service, b"GET", path)
    return (time.perf_counter() - start) / LOOKUPS * 1e6


def main() -> None:
    """Measure and print."""
    change = content()
    data = Document.empty().with_change(change, 1, "benchmark", 0.0).ok.encode()
    gc.collect()
    tracemalloc.start()
    document = Document.decode(data).ok
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    for name in document.services:
        document.upstreams_of(name)
        document.rule_for(name, b"GET", b"/")
    with_tables = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()

    def drain(number: int) -> None:
        one = Change([upstream_entry(number, SERVICES, "yes")])
        document.with_change(one, 2, "benchmark", 0.0).ok.upstreams_of(
            f"service-{number % SERVICES}"
        )

    change_p50, change_p99 = median_ms(drain, ROUNDS)
    whole, _ = median_ms(lambda _: Document.empty().with_change(change, 1, "benchmark", 0.0), 5)
    decode, _ = median_ms(lambda _: Document.decode(data), 5)
    encoded = len(Change([upstream_entry(1, SERVICES, "yes")]).encode())
    print(f"{SERVICES} services, {UPSTREAMS} upstreams, {len(document.rules)} rules")
    print(f"whole document: {len(data)} bytes, made in {whole:.0f} ms, decoded in {decode:.0f} ms")
    print(f"memory {memory:.1f} MB, with all tables {with_tables:.1f} MB")
    print(f"one change: {encoded} bytes")
    print(
        f"change p50 {change_p50:.2f} p99 {change_p99:.2f} ms, "
        f"lookup {lookups_us(document):.2f} us, memory {with_tables:.1f} MB"
    )


if __name__ == "__main__":
    main()
