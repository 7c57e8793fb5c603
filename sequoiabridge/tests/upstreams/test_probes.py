"""Probes, and the headers in which upstreams report load and incarnation."""

import curio
import pytest

from ...upstreams.probes import Prober
from ...upstreams.reports import parse_incarnation, parse_load
from .scripted import answer_with, run_against


@pytest.mark.parametrize("extra", [b"", b";later=x"])
def test_load_report_is_parsed_and_unknown_fields_are_ignored(extra):
    report = parse_load(b"in_flight=3;slots=2;age_ms=40" + extra)
    assert (report.in_flight, report.slots, report.age) == (3, 2, 0.04)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"in_flight=3",
        b"in_flight=-1;slots=2",
        b"in_flight=1;slots=0",
        b"in_flight=1;slots=0;age_ms=1",
        b"\xb2" * 90,
    ],
)
def test_invalid_report_is_none(value):
    assert parse_load(value) is None
    assert parse_incarnation(value) is None


def test_probe_returns_load_and_drain_and_counts_invalid_headers_and_bytes():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSequoia-Drain: 7\r\n"
    head += b"Sequoia-Incarnation: 7\r\nSequoia-Load: "
    valid, invalid = head + b"in_flight=1;slots=2\r\n\r\n", head + b"none\r\n\r\n"

    async def test(connector, address, connections):
        prober = Prober(connector, connector.clock)
        probe = await prober.probe(address, 1)
        assert probe.healthy and probe.load.in_flight == 1 and probe.drain == probe.incarnation == 7
        assert probe.size > 80
        probe = await prober.probe(address, 1)
        assert probe.healthy and probe.load is None and prober.invalid_headers == 1

    run_against(answer_with(valid, invalid), test)


def test_probe_of_unresponsive_or_unreachable_upstream_fails_without_open_connection():
    async def unresponsive(sock):
        await curio.sleep(100)

    async def test(connector, address, connections):
        prober = Prober(connector, connector.clock)
        probe = await prober.probe(address, 0.01)
        assert not probe.healthy and probe.failure.timed_out and probe.failure.sent
        assert connector.pools[address].count == 0
        probe = await prober.probe("127.0.0.1:1", 0.5)
        assert not probe.healthy and not probe.failure.sent and probe.size == 0

    run_against(unresponsive, test)


def test_incarnation_may_be_a_wall_time():
    assert parse_incarnation(b"1796236935123") == 1796236935123
    assert parse_incarnation(b"9" * 30) is None
