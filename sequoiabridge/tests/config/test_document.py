"""The fleet's configuration: validated whole, shared between versions, nothing lost on the way."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...config.change import Change, RemoveEntry, SetEntry
from ...config.document import Document
from ...config.loading import diff, parse_document

TEXT = """
[service reports]
hosts = reports.example.org, *.reports.example.org
[service uploads]
path_prefix = /uploads
[pool fast]
service = reports
slots = 3
[pool big]
service = uploads
[upstream fast-1]
pool = fast
address = 10.0.0.1:80
[upstream fast-2]
pool = fast
address = 10.0.0.2:80
slots = 1
[upstream big-1]
pool = big
address = 10.0.0.3:80
[rule approve]
service = reports
order = 10
methods = POST
path = /orders/*/approve
key = required
[rule read]
service = reports
order = 20
methods = GET, HEAD
path = /**
idempotent = yes
hedge = yes
"""
DRAINED = {"pool": "fast", "address": "10.0.0.1:80", "drained": "yes"}


@pytest.fixture
def document():
    return parse_document(TEXT).ok


def change(document, *entries, **more):
    return document.changed(Change(list(entries)), document.version + 1, "anna", 5.0, **more)


def test_a_change_leaves_the_old_version_as_it_was(document):
    before = document.upstreams_of("reports")
    new = change(document, SetEntry("upstream", "fast-1", DRAINED)).ok
    assert [u.drained for u in new.upstreams_of("reports")] == [True, False]
    assert document.upstreams_of("reports") is before and not before[0].drained
    assert new.upstreams["fast-2"] is document.upstreams["fast-2"]
    assert (new.version, new.author, new.at) == (2, "anna", 5.0)


def test_indexes_follow_an_upstream_and_a_pool_that_move(document):
    assert len(document.upstreams_of("uploads")) == 1
    moved = change(document, SetEntry("pool", "fast", {"service": "uploads"})).ok
    assert [u.name for u in moved.upstreams_of("uploads")] == ["big-1", "fast-1", "fast-2"]
    assert moved.upstreams_of("reports") == ()
    options = {"pool": "big", "address": "10.0.0.1:80"}
    back = change(moved, SetEntry("upstream", "fast-1", options), RemoveEntry("rule", "read")).ok
    assert back.rule_for("reports", b"GET", b"/").name == "unmatched"
    assert [u.name for u in back.upstreams_of("uploads")] == ["big-1", "fast-1", "fast-2"]


@pytest.mark.parametrize(
    ("entries", "wrong"),
    [
        ([RemoveEntry("service", "uploads")], "used by pool big"),
        ([RemoveEntry("pool", "fast")], "used by upstream fast-1, upstream fast-2"),
        ([RemoveEntry("rule", "none")], "nothing of this name"),
        ([SetEntry("upstream", "x", DRAINED)], "address of upstream"),
        ([SetEntry("pool", "x", {"service": "reprots"})], "no service reprots"),
        ([SetEntry("rule", "x", {"service": "reports", "hedge": "yes"})], "not idempotent"),
        ([SetEntry("rule", "x", {"service": "reports", "path": "/**/a/**"})], "not valid"),
        ([SetEntry("service", "x", {"path_prefix": "/uploads"})], "same host and path"),
        ([SetEntry("service", "a b", {})], "not valid"),
        ([SetEntry("server", "x", {})], "no such kind"),
    ],
)
def test_a_change_that_breaks_the_whole_is_refused(document, entries, wrong):
    (found,) = change(document, *entries).error
    assert wrong in found.wrong


def test_an_older_version_is_never_made(document):
    refused = document.changed(Change([]), document.version, "anna", 0.0)
    assert "not newer" in refused.error[0].wrong


def test_two_upstreams_may_swap_addresses_in_one_change(document):
    one = SetEntry("upstream", "fast-1", {"pool": "fast", "address": "10.0.0.2:80"})
    two = SetEntry("upstream", "fast-2", {"pool": "fast", "address": "10.0.0.1:80"})
    new = change(document, one, two).ok
    assert new.by_address["10.0.0.1:80"] == "fast-2"
    assert "address" in change(document, one).error[0].key


@pytest.mark.parametrize(
    ("host", "path", "service"),
    [
        (b"Reports.example.org:8443", b"/uploads/1", "reports"),
        (b"a.b.reports.example.org", b"/", "reports"),
        (b"else", b"/uploads/1?x=/", "uploads"),
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
        (b"POST", b"/orders/7/approve", "approve"),
        ("POST", "/orders/7/%61pprove/?again=1", "approve"),
        (b"POST", b"//orders/./7/approve", "approve"),
        (b"POST", b"/orders/7/8/approve", "unmatched"),
        (b"HEAD", b"/orders/7/approve", "read"),
        (b"PROPFIND", b"/", "unmatched"),
    ],
)
def test_no_spelling_of_a_path_leads_around_a_rule(document, method, path, rule):
    found = document.rule_for("reports", method, path)
    assert found.name == rule
    assert found.idempotent == (rule == "read")


def test_a_rule_that_never_matches_is_a_warning(document):
    late = SetEntry("rule", "late", {"service": "reports", "methods": "GET", "path": "/a/*"})
    new = change(document, late).ok
    (found,) = new.warnings()
    assert found.section == "rule late" and found.warning and "[rule read]" in found.wrong


def test_what_a_newer_release_added_is_kept_and_reported(document):
    options = {"service": "reports", "key": "by-digest", "colour": "red", "path": "/new"}
    entries = SetEntry("rule", "new", options), SetEntry("quota", "q", {"calls": "7"})
    assert len(change(document, *entries).error) == 3
    new = change(document, *entries, committed=True).ok
    assert new.rules["new"].key == "optional"
    again = Document.decode(new.encode()).ok
    assert again.rules["new"].options() == options and again.unknown == {
        ("quota", "q"): {"calls": "7"}
    }
    assert {p.key for p in again.warnings()} == {"key", "colour", ""}
    assert again.merged("rule", "new", {"order": "3"}).options == {**options, "order": "3"}


def test_another_format_and_a_torn_message_are_problems(document):
    data = msgspec.msgpack.encode([[], 99])
    assert "newer release" in Change.decode(data).error[0].instead
    assert Document.decode(document.encode()[:-5]).is_error()


NAMES = st.sampled_from(["a", "b", "c"])
BOOLEANS = st.sampled_from(["yes", "no"])
SECONDS = st.floats(0.001, 86400.0).map(lambda s: f"{s:.17f}s")
SERVICE = st.fixed_dictionaries({}, optional={"tail_weight": st.floats(0, 1).map(repr)})
RULE = st.fixed_dictionaries(
    {"service": NAMES},
    optional={"window": SECONDS, "idempotent": BOOLEANS, "methods": st.just("GET, POST")},
)
UPSTREAM = st.fixed_dictionaries(
    {"pool": NAMES, "address": st.integers(1, 9).map("10.0.0.{}:80".format)},
    optional={"drained": BOOLEANS, "slots": st.integers(0, 9).map(str)},
)
ENTRY = st.one_of(
    st.builds(SetEntry, st.just("service"), NAMES, SERVICE),
    st.builds(SetEntry, st.just("pool"), NAMES, st.fixed_dictionaries({"service": NAMES})),
    st.builds(SetEntry, st.just("upstream"), NAMES, UPSTREAM),
    st.builds(SetEntry, st.just("rule"), NAMES, RULE),
    st.builds(RemoveEntry, st.sampled_from(["service", "pool", "upstream", "rule"]), NAMES),
)
BASE = "".join(
    f"[service {n}]\npath_prefix = /{n}\n[pool {n}]\nservice = {n}\n" for n in ("a", "b", "c")
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.lists(ENTRY, max_size=4), max_size=6))
def test_small_changes_and_whole_documents_agree(changes):
    document = parse_document(BASE).ok
    for entries in changes:
        result = change(document, *entries)
        for name in document.services:
            document.upstreams_of(name), document.rule_for(name, b"GET", b"/x")
        if result.is_error():
            continue
        assert Change.decode(Change(entries).encode()).ok == Change(entries)
        step = diff(document, result.ok)
        document = change(document, *step.entries).ok
        assert Document.decode(result.ok.encode()).ok.to_ini() == document.to_ini()
    fresh = parse_document(document.to_ini()).ok
    assert not diff(document, fresh) and not diff(fresh, document)
    assert document.by_address == fresh.by_address
    for name in document.services:
        assert document.upstreams_of(name) == fresh.upstreams_of(name)
        found, expected = (d.rule_for(name, b"GET", b"/x") for d in (document, fresh))
        assert found == expected
