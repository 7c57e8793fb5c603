"""Metrics of one daemon, exposed through prometheus_client.

The request path only increments plain numbers; `Metrics` is a custom collector that converts them
to metric families at each scrape. It takes no locks: all methods are called from one thread.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, GCCollector, ProcessCollector
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from .component import Component
from .exposition import Samples, SimpleFamily, cumulative_buckets, render, split_family
from .logs import get_log
from .outcome import Outcome, Reason

log = get_log("metrics")

LATENCY_BUCKETS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0),
)
"""Upper bounds of the latency histogram, in seconds."""

BUCKET_NAMES = [*(str(bound) for bound in LATENCY_BUCKETS), "+Inf"]

STATUS_CLASSES = ("other", "1xx", "2xx", "3xx", "4xx", "5xx")

CALL_LABELS = ("service", "kind")

COST_UNIT_CALLS = 1000
"""The costs of measuring load are reported per this number of calls."""


class CallSeries:
    """Counts of the calls of one service and kind; `buckets` are not cumulative."""

    __slots__ = ("statuses", "buckets", "seconds", "in_window", "late")

    def __init__(self) -> None:
        self.statuses = [0] * len(STATUS_CLASSES)
        self.buckets = [0] * len(BUCKET_NAMES)
        self.seconds = 0.0
        self.in_window = 0
        self.late = 0


Calls = list[tuple[tuple[str, str], CallSeries]]
"""Series of calls, each with its service and kind."""


class Counter:
    """A counter with labels."""

    __slots__ = ("name", "help", "labels", "values")

    def __init__(self, name: str, help_text: str, labels: tuple[str, ...]):
        self.name = name
        self.help = help_text
        self.labels = labels
        self.values: defaultdict[tuple[str, ...], float] = defaultdict(int)

    def add(self, *label_values: str, by: float = 1) -> None:
        """Add `by` to the series with these label values, in the order of `labels`."""
        self.values[label_values] += by

    def total(self, first: str, second: str | None = None) -> float:
        """Return the sum of all series with these first two label values; None matches any."""
        return sum(
            value
            for labels, value in self.values.items()
            if labels[0] == first and second in (None, labels[1])
        )

    def samples(self) -> Samples:
        """Return the label values and the value of each series."""
        return list(self.values.items())


class CallbackMetric:
    """A metric whose values a callback returns at each scrape."""

    __slots__ = ("family", "name", "help", "labels", "read")

    def __init__(
        self,
        family: SimpleFamily,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        read: Callable[[], Samples | float],
    ):
        self.family = family
        self.name = name
        self.help = help_text
        self.labels = labels
        self.read = read

    def samples(self) -> Samples:
        """Return the current samples; a plain number is a sample without labels."""
        value = self.read()
        return [((), value)] if isinstance(value, int | float) else value


class Metrics(Component):
    """All metrics of one daemon, in a registry of its own."""

    name = "metrics"

    def __init__(self) -> None:
        self.calls: dict[tuple[str, str], CallSeries] = {}
        self.counters: list[Counter] = []
        self.callback_metrics: list[CallbackMetric] = []
        self._declare_counters()
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)
        ProcessCollector(registry=self.registry)
        GCCollector(registry=self.registry)

    def record_call(
        self, service: str, kind: str, status: int, seconds: float, in_window: bool
    ) -> None:
        """Count a call; `in_window` is true if it was answered before its deadline."""
        series = self.calls.get((service, kind))
        if series is None:
            series = self.calls[service, kind] = CallSeries()
        index = status // 100
        series.statuses[index if 0 < index < 6 else 0] += 1
        series.buckets[bisect_left(LATENCY_BUCKETS, seconds)] += 1
        series.seconds += seconds
        if in_window:
            series.in_window += 1
        else:
            series.late += 1

    def record_refusal(self, service: str, reason: Reason, outcome: Outcome) -> None:
        """Count a response that the daemon generated itself."""
        self.refusals.add(service, reason.value, outcome.value)

    def record_measurement(
        self, service: str, source: str, sent_bytes: int, upstream_seconds: float
    ) -> None:
        """Count a load report of an upstream and its cost.

        `source` is the origin of the report, such as `probe`; `upstream_seconds` is an estimate of
        the time that the upstream spent on it.
        """
        self.measurements.add(service, source)
        self.measuring_bytes.add(service, source, by=sent_bytes)
        self.measuring_seconds.add(service, source, by=upstream_seconds)

    def gauge(
        self,
        name: str,
        help_text: str,
        read: Callable[[], Samples | float],
        labels: tuple[str, ...] = (),
    ) -> None:
        """Add a gauge with the value or the samples that `read` returns at each scrape."""
        self.callback_metrics.append(
            CallbackMetric(GaugeMetricFamily, name, help_text, labels, read)
        )

    def counter(
        self,
        name: str,
        help_text: str,
        read: Callable[[], Samples | float],
        labels: tuple[str, ...] = (),
    ) -> None:
        """Add a counter that another component keeps; `name` is without `_total`."""
        self.callback_metrics.append(
            CallbackMetric(CounterMetricFamily, name, help_text, labels, read)
        )

    async def text(self) -> bytes:
        """Return all metrics in Prometheus' text format; other tasks run in between."""
        return await render(self.registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families in pieces; called by the registry at each scrape."""
        yield from self._call_families()
        for counter in self.counters:
            yield from split_family(
                CounterMetricFamily, counter.name, counter.help, counter.labels, counter.samples()
            )
        yield from self._measuring_cost_families()
        for metric in self.callback_metrics:
            yield from self._collect_callback(metric)

    def dump(self) -> dict:
        """Return a summary of the calls for the state dump."""
        return {
            f"{service}/{kind}": {
                "calls": sum(series.statuses),
                "in_window": series.in_window,
                "late": series.late,
                "mean_ms": round(1000 * series.seconds / max(1, sum(series.statuses)), 3),
            }
            for (service, kind), series in self.calls.items()
        }

    def _declare_counters(self) -> None:
        counter = self._add_counter
        self.retries = counter("retries", "Attempts after the first.", "service", "why")
        self.refusals = counter(
            "refusals", "Answers the daemon made itself.", "service", "reason", "outcome"
        )
        self.measurements = counter(
            "measurements", "Load reports, by where from.", "service", "source"
        )
        self.measuring_bytes = counter(
            "measuring_bytes", "Bytes spent on measuring load.", "service", "source"
        )
        self.measuring_seconds = counter(
            "measuring_upstream_seconds", "Upstream time spent on measuring.", "service", "source"
        )
        self.failures = counter("collect_failures", "Metrics that could not be read.", "metric")

    def _add_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        counter = Counter(f"sequoia_{name}", help_text, labels)
        self.counters.append(counter)
        return counter

    def _collect_callback(self, metric: CallbackMetric) -> Iterator[Metric]:
        try:
            yield from split_family(
                metric.family, metric.name, metric.help, metric.labels, metric.samples()
            )
        except Exception as error:
            # A component that fails must not hide the metrics of the others.
            if (metric.name,) not in self.failures.values:
                log.warning("cannot read metric %s: %s", metric.name, error)
            self.failures.add(metric.name)

    def _call_families(self) -> Iterator[Metric]:
        calls = list(self.calls.items())
        yield from self._status_family(calls)
        yield from self._window_family(calls)
        for key, series in calls:
            latency = HistogramMetricFamily(
                "sequoia_call_seconds",
                "Time from head to last byte of the answer.",
                labels=CALL_LABELS,
            )
            latency.add_metric(
                key, cumulative_buckets(BUCKET_NAMES, series.buckets), series.seconds
            )
            yield latency

    def _status_family(self, calls: Calls) -> Iterator[Metric]:
        statuses = (
            ((*key, status), number)
            for key, series in calls
            for status, number in zip(STATUS_CLASSES, series.statuses, strict=True)
            if number
        )
        yield from split_family(
            CounterMetricFamily,
            "sequoia_calls",
            "Calls answered.",
            (*CALL_LABELS, "status"),
            statuses,
        )

    def _window_family(self, calls: Calls) -> Iterator[Metric]:
        windows = (
            ((*key, in_window_label), number)
            for key, series in calls
            for in_window_label, number in (("yes", series.in_window), ("no", series.late))
        )
        yield from split_family(
            CounterMetricFamily,
            "sequoia_calls_by_window",
            "Calls answered in their window or late.",
            (*CALL_LABELS, "in_window"),
            windows,
        )

    def _measuring_cost_families(self) -> Iterator[Metric]:
        calls: defaultdict[str, int] = defaultdict(int)
        for (service, _), series in self.calls.items():
            calls[service] += sum(series.statuses)
        for name, help_text, counter, source in (
            ("probes", "Probes for each 1,000 calls.", self.measurements, "probe"),
            ("measuring_bytes", "Bytes likewise.", self.measuring_bytes, None),
            ("measuring_upstream_seconds", "Time likewise.", self.measuring_seconds, None),
        ):
            samples = [
                ((service,), counter.total(service, source) * COST_UNIT_CALLS / number)
                for service, number in calls.items()
            ]
            full_name = f"sequoia_{name}_per_1000_calls"
            yield from split_family(GaugeMetricFamily, full_name, help_text, ("service",), samples)
