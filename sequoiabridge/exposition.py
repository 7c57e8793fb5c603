"""Renders metrics in Prometheus' text format without blocking other tasks for long.

Large metric families are split into pieces, which prometheus_client formats one at a time; other
tasks run between them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice

import curio
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

MAX_PIECE_SAMPLES = 100
"""Maximum number of samples that are formatted before other tasks may run."""

HEADER_LINES = 2
"""Number of header lines (`# HELP` and `# TYPE`), which a family may have only once."""

Samples = Iterable[tuple[Sequence[str], float]]
"""Label values of each sample with its value."""

SimpleFamily = type[GaugeMetricFamily] | type[CounterMetricFamily]


class SingleMetricRegistry:
    """A registry for `generate_latest` that holds a single metric."""

    __slots__ = ("metric",)

    def __init__(self, metric: Metric):
        self.metric = metric

    def collect(self) -> Iterator[Metric]:
        """Return the metric."""
        return iter((self.metric,))


def split_family(
    kind: SimpleFamily, name: str, help_text: str, labels: Sequence[str], samples: Samples
) -> Iterator[Metric]:
    """Yield a metric family in pieces; at least one, even without samples."""
    rest = iter(samples)
    while True:
        piece = kind(name, help_text, labels=labels)
        for label_values, value in islice(rest, MAX_PIECE_SAMPLES):
            piece.add_metric(label_values, value)
        yield piece
        if len(piece.samples) < MAX_PIECE_SAMPLES:
            return


def cumulative_buckets(names: Sequence[str], buckets: Sequence[int]) -> list[tuple[str, float]]:
    """Return the cumulative buckets of a histogram, as Prometheus expects them."""
    total = 0
    result = []
    for name, number in zip(names, buckets, strict=True):
        total += number
        result.append((name, total))
    return result


async def render(registry: CollectorRegistry) -> bytes:
    """Return all families of a registry as text; pieces of a family must be consecutive."""
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
