"""Matching of requests to services and rules, with any spelling of a path."""

import pytest

from ...config.change import RemoveEntry, SetEntry
from ...config.loading import parse_document
from .fleet import TEXT, change


@pytest.fixture
def document():
    return parse_document(TEXT).ok


@pytest.mark.parametrize(
    ("host", "path", "service"),
    [
        (b"Reports.example.org:8443", b"/uploads/1", "reports"),
        (b"a.b.reports.example.org", b"/", "reports"),
        (b"else", b"/uploads/1?x=/", "uploads"),
        (b"else", b"/uploads/images/1", "images"),
        (b"else", b"/a/../uploads", "uploads"),
        (b"else", b"/uploadsX", None),
    ],
)
def test_the_service_is_found_by_host_then_longest_prefix(document, host, path, service):
    found = document.service_for(host, path)
    assert (found.name if found else None) == service


@pytest.mark.parametrize(
    ("method", "path", "rule"),
    [
        (b"POST", b"/orders/7/approve", "verdict"),
        ("POST", "/orders/7/%61pprove", "verdict"),
        (b"POST", b"/orders/7/approve?again=1", "verdict"),
        (b"POST", b"/orders/7/approve/", "verdict"),
        (b"POST", b"//orders/7/approve", "verdict"),
        (b"POST", b"/orders/x/../7/approve", "verdict"),
        (b"POST", b"/orders/7/8/approve", "unmatched"),
        (b"HEAD", b"/orders/7/approve", "read"),
        (b"GET", b"/health", "read"),
        (b"PUT", b"/health", "alive"),
        (b"PROPFIND", b"/", "unmatched"),
        (b"POST", b"/orders/7/approve#?a/../..", "verdict"),
        (b"POST", b"/orders/7/%2561pprove", "unmatched"),
    ],
)
def test_every_spelling_of_a_path_matches_the_same_rule(document, method, path, rule):
    found = document.rule_for("reports", method, path)
    assert found.name == rule
    assert found.idempotent == (rule == "read")
    if isinstance(path, bytes):
        assert document.route(b"reports.example.org", method, path)[1] is found


def test_lookups_follow_a_change_of_services_and_rules(document):
    assert document.service_for(b"else", b"/uploads/images/1").name == "images"
    assert document.rule_for("reports", b"GET", b"/health").name == "read"
    first = {"service": "reports", "order": "1", "path": "/health"}
    new = change(document, RemoveEntry("service", "images"), SetEntry("rule", "z", first)).ok
    assert new.service_for(b"else", b"/uploads/images/1").name == "uploads"
    assert new.rule_for("reports", b"GET", b"/health").name == "z"


def test_a_rule_that_never_matches_causes_a_warning(document):
    options = {"service": "reports", "methods": "GET", "path": "/a/**"}
    narrow = SetEntry("rule", "a", {**options, "methods": "PUT", "path": "/a/*/**", "order": "1"})
    seen = SetEntry("rule", "b", {**options, "methods": "PUT", "order": "2"})
    new = change(document, SetEntry("rule", "late", options), narrow, seen).ok
    warnings = {p.section: p.wrong for p in new.warnings() if p.key == "path"}
    assert list(warnings) == ["rule late"] and "[rule read]" in warnings["rule late"]
