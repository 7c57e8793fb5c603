"""Probes and what upstreams report of themselves."""

import curio
import pytest

from ...upstreams.probes import Prober
from ...upstreams.reports import parse_incarnation, parse_load
from .scripted import answer_with, run_against


@pytest.mark.parametrize("more", [b"", b";later=x"])
def test_report_is_read_and_unknown_fields_are_passed_over(more):
    report = parse_load(b"in_flight=3;slots=2;age_ms=40" + more)
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
def test_bad_report_is_none(value):
    assert parse_load(value) is None
    assert parse_incarnation(value) is None


def test_probe_tells_load_and_drain_counts_bad_headers_and_bytes():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSequoia-Drain: 7\r\n"
    head += b"Sequoia-Incarnation: 7\r\nSequoia-Load: "
    good, bad = head + b"in_flight=1;slots=2\r\n\r\n", head + b"none\r\n\r\n"

    async def test(connector, address, connections):
        prober = Prober(connector, connector.clock)
        probe = await prober.probe(address, 1)
        assert probe.healthy and probe.load.in_flight == 1 and probe.drain == probe.incarnation == 7
        assert probe.size > 80
        probe = await prober.probe(address, 1)
        assert probe.healthy and probe.load is None and prober.invalid_headers == 1

    run_against(answer_with(good, bad), test)


def test_silent_and_absent_upstreams_are_results_and_leave_no_connection():
    async def silent(sock):
        await curio.sleep(100)

    async def test(connector, address, connections):
        prober = Prober(connector, connector.clock)
        probe = await prober.probe(address, 0.01)
        assert not probe.healthy and probe.failure.timed_out and probe.failure.sent
        assert connector.pools[address].count == 0
        probe = await prober.probe("127.0.0.1:1", 0.5)
        assert not probe.healthy and not probe.failure.sent and probe.size == 0

    run_against(silent, test)


def test_an_incarnation_may_be_a_wall_time():
    assert parse_incarnation(b"1796236935123") == 1796236935123
    assert parse_incarnation(b"9" * 30) is None
