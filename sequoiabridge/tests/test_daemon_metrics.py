"""Metrics of a whole daemon: a scrape shows the counts of its components."""

import re
from pathlib import Path

import curio
import pytest

from ..config.loading import parse_document
from ..config.settings import Settings
from ..daemon import Daemon

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operators" / "metrics.md"
SERVICE = "[service mottag]\n[pool mottag]\nservice = mottag\n"


@pytest.fixture
def daemon():
    daemon = Daemon(Settings.load(ROOT / "examples" / "vm.ini").ok)
    daemon.services.update(parse_document(SERVICE).ok)
    return daemon


@pytest.mark.parametrize(
    "line, set_count",
    [
        ('claims_total{result="busy"} 3', lambda d: setattr(d.claims.counts, "busy", 3)),
        ('store_events_total{event="settled"} 3', lambda d: setattr(d.store.counts, "settled", 3)),
        ("store_outages_total 3", lambda d: setattr(d.store.admission.breaker, "outage_count", 3)),
        ('uploads_total{result="accepted"} 3', lambda d: d.uploads.counts.update(accepted=3)),
        ('deliveries_total{result="confirmed"} 3', lambda d: setattr(d.deliveries, "confirmed", 3)),
        (
            'fleet_bytes_total{direction="sent"} 3',
            lambda d: setattr(d.fleet.counters, "bytes_sent", 3),
        ),
        (
            'ejections_total{service="mottag"} 3',
            lambda d: setattr(d.services.by_name["mottag"].pool.ejector, "count", 3),
        ),
        (
            'in_flight{service="mottag"} 3',
            lambda d: setattr(d.services.by_name["mottag"].queue, "running", 3),
        ),
    ],
)
def test_scrape_shows_the_count_of_a_component(daemon, line, set_count):
    set_count(daemon)
    assert f"sequoia_{line}.0" in curio.run(daemon.metrics.text).decode()


def test_readiness_is_a_metric(daemon):
    assert "sequoia_ready 0.0" in curio.run(daemon.metrics.text).decode()
    daemon.readiness.why_not_current = str
    assert "sequoia_ready 1.0" in curio.run(daemon.metrics.text).decode()
    daemon.readiness.stopping = True
    assert "sequoia_ready 0.0" in curio.run(daemon.metrics.text).decode()


def test_documentation_lists_exactly_the_metrics_of_the_daemon(daemon):
    daemon.metrics.record_call("mottag", "image", 202, 0.1, True)
    documented = set(re.findall(r"^\| `(sequoia_\w+)`", PAGE.read_text(encoding="utf-8"), re.M))
    declared = {
        f"{metric.name}_total" if metric.type == "counter" else metric.name
        for metric in daemon.metrics.collect()
    }
    assert documented == declared
