"""Prometheus' text format, made in small pieces so that a scrape does not hold up calls.

prometheus_client formats; this module cuts large metric families into pieces and lets other
tasks run between two of them. docs/design/admin.md has the figures.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice

import curio
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

MAX_PIECE_SAMPLES = 100
"""Samples that are formatted before other tasks may run."""

HEADER_LINES = 2
"""`# HELP` and `# TYPE`, which may stand only once for each family."""

Samples = Iterable[tuple[Sequence[str], float]]
"""Label values and the value that belongs to them."""

SimpleFamily = type[GaugeMetricFamily] | type[CounterMetricFamily]


class SingleMetricRegistry:
    """What `generate_latest` takes for a registry, holding one piece of a family."""

    __slots__ = ("metric",)

    def __init__(self, metric: Metric):
        self.metric = metric

    def collect(self) -> Iterator[Metric]:
        """Return the piece."""
        return iter((self.metric,))


def split_family(
    kind: SimpleFamily, name: str, help_text: str, labels: Sequence[str], samples: Samples
) -> Iterator[Metric]:
    """Yield a metric family in pieces, one even if there are no samples."""
    rest = iter(samples)
    while True:
        piece = kind(name, help_text, labels=labels)
        for label_values, value in islice(rest, MAX_PIECE_SAMPLES):
            piece.add_metric(label_values, value)
        yield piece
        if len(piece.samples) < MAX_PIECE_SAMPLES:
            return


def cumulative_buckets(names: Sequence[str], buckets: Sequence[int]) -> list[tuple[str, float]]:
    """Return a histogram's buckets as Prometheus wants them: each with all below it."""
    total = 0
    result = []
    for name, number in zip(names, buckets, strict=True):
        total += number
        result.append((name, total))
    return result


async def render(registry: CollectorRegistry) -> bytes:
    """Return all families of a registry as text; pieces of one family follow each other."""
    texts: list[bytes] = []
    last = ""
    for metric in registry.collect():
        text = generate_latest(SingleMetricRegistry(metric))
        if metric.name == last:
            text = text.split(b"\n", HEADER_LINES)[HEADER_LINES]
        texts.append(text)
        last = metric.name
        await curio.sleep(0)
    return b"".join(texts)
