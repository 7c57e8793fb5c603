"""Metrics as a scrape shows them."""

import re
from pathlib import Path

import curio
from prometheus_client.parser import text_string_to_metric_families

from ..metrics import Metrics
from ..outcome import Outcome, Reason

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "metrics.md"


def sample(metrics, name, **labels):
    return metrics.registry.get_sample_value(name, labels)


def test_calls_latency_and_window():
    metrics = Metrics()
    metrics.record_call("spendview", "read", 200, 0.004, True)
    metrics.record_call("spendview", "read", 503, 45.0, False)
    metrics.record_call("spendview", "read", 777, 0.005, True)
    one = {"service": "spendview", "kind": "read"}
    assert sample(metrics, "sequoia_calls_total", status="5xx", **one) == 1
    assert sample(metrics, "sequoia_calls_total", status="other", **one) == 1
    assert sample(metrics, "sequoia_calls_by_window_total", in_window="no", **one) == 1
    assert sample(metrics, "sequoia_call_seconds_bucket", le="0.005", **one) == 2
    assert sample(metrics, "sequoia_call_seconds_bucket", le="30.0", **one) == 2
    assert sample(metrics, "sequoia_call_seconds_bucket", le="+Inf", **one) == 3


def test_measuring_cost_per_1000_calls():
    metrics = Metrics()
    for _ in range(500):
        metrics.record_call("katalog", "manifest", 200, 0.01, True)
    metrics.record_measurement("katalog", "probe", 120, 0.001)
    metrics.record_measurement("katalog", "fleet", 80, 0.0)
    assert sample(metrics, "sequoia_probes_per_1000_calls", service="katalog") == 2
    assert sample(metrics, "sequoia_measuring_bytes_per_1000_calls", service="katalog") == 400


def test_failing_callback_does_not_hide_other_metrics():
    metrics = Metrics()
    metrics.gauge("sequoia_ready", "Ready.", lambda: 1 // 0)
    metrics.gauge("sequoia_queue_length", "Queue.", lambda: [(("mottag",), 3)], ("service",))
    metrics.record_refusal("mottag", Reason.QUEUE_FULL, Outcome.NOT_RUN)
    curio.run(metrics.text)
    text = curio.run(metrics.text).decode()
    assert 'sequoia_queue_length{service="mottag"} 3.0' in text
    assert 'sequoia_collect_failures_total{metric="sequoia_ready"} 1.0' in text
    assert 'outcome="not-run",reason="queue-full"' in text


def test_family_split_into_pieces_is_rendered_as_one_family():
    metrics = Metrics()
    for number in range(250):
        metrics.record_call(f"service-{number}", "read", 200, 0.004, True)
    text = curio.run(metrics.text).decode()
    assert text.count("# TYPE sequoia_call_seconds histogram") == 1
    families = list(text_string_to_metric_families(text))
    assert len({family.name for family in families}) == len(families)
    by_name = {family.name: family.samples for family in families}
    assert len(by_name["sequoia_calls"]) == 250
    assert len(by_name["sequoia_calls_by_window"]) == 500


def test_documentation_lists_every_initial_metric():
    documented = set(re.findall(r"`(sequoia_\w+)`", PAGE.read_text(encoding="utf-8")))
    declared = {metric.name for metric in Metrics().collect()}
    assert {name.removesuffix("_total") for name in documented} >= declared
