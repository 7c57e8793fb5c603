"""Changes of the configuration document: validation, sharing, and options of newer releases."""

import msgspec
import pytest

from ...config.change import Change, RemoveEntry, SetEntry
from ...config.document import Document
from ...config.loading import parse_document
from .fleet import TEXT, change

DRAINED = {"pool": "fast", "address": "10.0.0.1:80", "drained": "yes"}


@pytest.fixture
def document():
    return parse_document(TEXT).ok


def test_a_change_leaves_the_old_version_as_it_was(document):
    before = document.upstreams_of("reports")
    new = change(document, SetEntry("upstream", "fast-1", DRAINED)).ok
    assert [u.drained for u in new.upstreams_of("reports")] == [True, False]
    assert document.upstreams_of("reports") is before and not before[0].drained
    assert new.upstreams["fast-2"] is document.upstreams["fast-2"]
    assert (new.version, new.author, new.changed_at) == (2, "anna", 5.0)
    assert [new.slots_of(u) for u in before] == [3, 1]


def test_indexes_follow_an_upstream_and_a_pool_that_move(document):
    assert len(document.upstreams_of("uploads")) == 1
    moved = change(document, SetEntry("pool", "fast", {"service": "uploads"})).ok
    assert [u.name for u in moved.upstreams_of("uploads")] == ["big-1", "fast-1", "fast-2"]
    assert moved.upstreams_of("reports") == ()
    back = change(moved, SetEntry("upstream", "fast-1", {**DRAINED, "pool": "big"})).ok
    assert [u.drained for u in back.upstreams_of("uploads")] == [False, True, False]
    gone = change(back, RemoveEntry("upstream", "fast-2"), RemoveEntry("pool", "fast")).ok
    assert [u.name for u in gone.upstreams_of("uploads")] == ["big-1", "fast-1"]


@pytest.mark.parametrize(
    ("entries", "wrong"),
    [
        ([RemoveEntry("service", "uploads")], "used by pool big"),
        ([RemoveEntry("pool", "fast")], "used by upstream fast-1, upstream fast-2"),
        ([RemoveEntry("rule", "none")], "no entry of this name"),
        ([SetEntry("upstream", "x", DRAINED)], "also the address of upstream"),
        ([SetEntry("pool", "x", {"service": "reprots"})], "no service reprots"),
        ([SetEntry("rule", "x", {"service": "reports", "hedge": "yes"})], "not idempotent"),
        ([SetEntry("rule", "x", {"service": "reports", "path": "/**/a/**"})], "not valid"),
        ([SetEntry("service", "x", {"path_prefix": "/uploads"})], "same host and path"),
        ([SetEntry("service", "x", {"hosts": "b, B"})], "appears twice"),
        ([SetEntry("service", "a b", {})], "not valid"),
        ([SetEntry("server", "x", {})], "no such kind"),
    ],
)
def test_an_inconsistent_change_is_rejected(document, entries, wrong):
    (found,) = change(document, *entries).error
    assert wrong in found.wrong


def test_a_change_needs_a_newer_version(document):
    rejected = document.with_change(Change([]), document.version, "anna", 0.0)
    assert "not newer" in rejected.error[0].wrong


def test_two_upstreams_may_swap_addresses_in_one_change(document):
    one = SetEntry("upstream", "fast-1", {"pool": "fast", "address": "10.0.0.2:80"})
    two = SetEntry("upstream", "fast-2", {"pool": "fast", "address": "10.0.0.1:80"})
    new = change(document, one, two).ok
    assert new.by_address["10.0.0.1:80"] == "fast-2"
    assert "address" in change(document, one).error[0].key


def test_an_entry_may_be_removed_and_set_in_one_change(document):
    pool = {"service": "reports", "slots": "9"}
    new = change(document, RemoveEntry("pool", "fast"), SetEntry("pool", "fast", pool)).ok
    assert new.slots_of(new.upstreams["fast-1"]) == 9


def test_an_entry_with_an_error_is_not_reported_as_missing_too(document):
    broken = SetEntry("pool", "new", {"service": "reports", "slots": "many"})
    upstream = SetEntry("upstream", "x", {"pool": "new", "address": "10.0.0.9:80"})
    (found,) = change(document, broken, upstream).error
    assert found.key == "slots"
    twice = parse_document(TEXT + "[pool big]\nslots = many\nslots = 7\n").error
    assert [(p.section, p.key) for p in twice] == [("pool big", "")]


def test_what_a_newer_release_added_is_kept_and_reported(document):
    options = {"service": "reports", "key": "by-digest", "colour": "red", "path": "/new"}
    entries = SetEntry("rule", "new", options), SetEntry("quota", "q", {"calls": "7"})
    assert len(change(document, *entries).error) == 3
    new = change(document, *entries, committed=True).ok
    assert new.rules["new"].key == "optional"
    again = Document.decode(new.encode()).ok
    assert again.rules["new"].options() == options
    assert again.unknown == {("quota", "q"): {"calls": "7"}}
    kept = {p.key for p in again.warnings() if "does not support" in p.wrong}
    assert kept == {"key", "colour", ""}
    assert again.merge_options("rule", "new", {"order": "3"}).options == {**options, "order": "3"}


def test_hedging_is_off_if_the_value_of_idempotent_is_unsupported(document):
    options = {"service": "reports", "idempotent": "sometimes", "hedge": "yes"}
    rule = change(document, SetEntry("rule", "new", options), committed=True).ok.rules["new"]
    assert not rule.hedge and not rule.idempotent and rule.options() == options


def test_a_newer_format_version_and_a_truncated_document_are_problems(document):
    later = msgspec.msgpack.encode([[["s", "pool", "p", {}, "more"]], 1, "more"])
    assert Change.decode(later).ok.entries == [SetEntry("pool", "p", {})]
    data = msgspec.msgpack.encode([[], 99])
    assert "newer release" in Change.decode(data).error[0].instead
    assert Document.decode(document.encode()[:-5]).is_error()
