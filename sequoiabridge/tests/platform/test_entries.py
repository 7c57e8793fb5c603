"""Entries of other writers in the platform's tables: they name nothing, and the others hold."""

import json
from base64 import b64encode

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...exceptions import BadEntry, StoreUnavailable
from ...platform import client
from ...platform.entries import decode_upstream_record
from ...platform.feeds import UpstreamFeed
from ...relay.entry_errors import EntryErrorLog
from ...relay.messages import MAX_DATAGRAM_BYTES, decode_message
from ...relay.peer_feeds import decode_rows
from ...relay.upstreams import UpstreamList
from ...store.rows import Rows, StoredRow
from ...timers import ManualClock
from ..relay.fakes import decision_log

GOOD = {
    "address": "10.0.0.7:8080",
    "info": {"service": "s", "version": "v1", "zone": "here", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_s": 0.5},
    "born": 1_700_000_000_000,
}
DEEP = b"[" * 100_000 + b"]" * 100_000

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def row(value, key="i-1", version=1):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredRow("servers", "", key, data, version)


def changed(place, value):
    """Return a good entry with one field of another value."""
    entry = json.loads(json.dumps(GOOD))
    *tables, name = place.split(".")
    inner = entry
    for table in tables:
        inner = inner[table]
    inner[name] = value
    return entry


def test_a_good_entry_is_read_whole():
    found = decode_upstream_record(row(GOOD))
    assert (found.id, found.service, found.address) == ("i-1", "s", "10.0.0.7:8080")
    assert (found.data_centre, found.slots, found.draining, found.cold_seconds) == (
        "here",
        4,
        False,
        0.5,
    )
    assert found.born == 1_700_000_000_000
    without = {name: value for name, value in GOOD.items() if name != "born"}
    assert decode_upstream_record(row(without)).born is None


BAD_FIELDS = [
    ("info.service", ["s"]),
    ("info.service", None),
    ("info.service", ""),
    ("info.zone", 7),
    ("info.slots", -1),
    ("info.slots", 0),
    ("info.slots", "4"),
    ("info.slots", True),
    ("info.slots", 10**400),
    ("info.version", None),
    ("address", 7),
    ("address", "10.0.0.7"),
    ("address", "10.0.0.7:"),
    ("address", "10.0.0.7:0"),
    ("address", "10.0.0.7:99999"),
    ("address", "some.host:80"),
    ("address", "10.0.0.7:80\r\nx: y"),
    ("status.state", "resting"),
    ("status.state", ["ready"]),
    ("status.state", None),
    ("status.sequence", "4"),
    ("status.cold_remaining_s", 1e300),
    ("status.cold_remaining_s", -1),
    ("status.cold_remaining_s", "0"),
    ("status.cold_remaining_s", float("inf")),
    ("status.cold_remaining_s", float("nan")),
    ("status.cold_remaining_s", 10**400),
    ("born", "1700000000000"),
    ("born", 1.7e12),
    ("born", True),
    ("born", None),
    ("info", []),
    ("status", "ready"),
]


@pytest.mark.parametrize(("place", "value"), BAD_FIELDS)
def test_an_entry_with_a_field_of_another_kind_names_no_upstream(place, value):
    with pytest.raises(BadEntry):
        decode_upstream_record(row(changed(place, value)))


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"{", b"7", b"null", b"[]", DEEP, b"1" * 9999])
def test_bytes_that_cannot_be_read_name_no_upstream(value):
    with pytest.raises(BadEntry):
        decode_upstream_record(row(value))


@pytest.mark.parametrize("key", ["", "i-1\n", "i-\u00e9", "i-1\r\nx: y"])
def test_an_id_that_no_header_can_carry_names_no_upstream(key):
    with pytest.raises(BadEntry):
        decode_upstream_record(row(GOOD, key))


@pytest.mark.parametrize("value", ["%%%", "AB", 7, None, ["QUJD"], "\u00e9"])
def test_a_value_that_is_no_base64_spoils_its_own_row_only(value):
    good = b64encode(json.dumps(GOOD).encode()).decode()
    rows = [
        {"table": "servers", "key": "bad", "value": value, "ver": 2},
        {"table": "servers", "key": "i-1", "value": good, "ver": 1},
    ]
    update = UpstreamFeed(None).replace_rows(Rows(client._decode_rows({"rows": rows}), 2))
    assert [record.id for record in update.entries] == ["i-1"]
    assert update.unusable == ["bad"]


@pytest.mark.parametrize("page", [{}, {"rows": None}, {"rows": [7]}, {"rows": [{"value": ""}]}])
def test_an_answer_that_is_not_of_the_stores_form_is_no_answer(page):
    with pytest.raises(StoreUnavailable):
        client._decode_rows(page)


@settings(max_examples=150, deadline=None)
@given(st.sampled_from([place for place, _ in BAD_FIELDS]), VALUES)
def test_whatever_a_field_holds_the_entry_is_read_or_refused(place, value):
    entry = changed(place, value)
    try:
        found = decode_upstream_record(row(entry))
    except BadEntry:
        return
    assert found.slots >= 1 and 0.0 <= found.cold_seconds < 1e6
    assert found.service.isprintable() and found.address.count(":") == 1


ENTRIES = st.sampled_from(
    [
        GOOD,
        changed("status.state", "draining"),
        changed("address", "10.0.0.8:8080"),
        changed("born", 1_700_000_000_500),
        changed("born", 1_600_000_000_000),
        changed("info.service", "nobody"),
        changed("info.service", ["s"]),
        {name: value for name, value in GOOD.items() if name != "born"},
        b"\xff",
        DEEP,
        None,
    ]
)
ROWS = st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), ENTRIES), max_size=12)


@settings(max_examples=100, deadline=None)
@given(ROWS)
def test_after_any_order_of_words_only_the_latest_good_one_of_the_latest_lifetime_holds(words):
    log, _ = decision_log()
    known, feed = UpstreamList("here", ManualClock(9.0), log, lambda u: None), UpstreamFeed(None)
    known.set_services(["s"])
    expected: dict[str, dict] = {}
    latest: dict[str, int] = {}
    for version, (key, value) in enumerate(words, 1):
        stored = StoredRow("servers", "", key, None, version) if value is None else None
        update = feed.update_rows(Rows([stored or row(value, key, version)], version))
        known.update(update.entries, update.removed, version, update.unusable)
        if value is None or update.unusable:
            expected.pop(key, None)
        elif value.get("born", -1) >= latest.get(key, -1):
            expected[key] = value
            latest[key] = value.get("born", -1)
    usable = {
        key
        for key, value in expected.items()
        if value["info"]["service"] == "s" and value["status"]["state"] == "ready"
    }
    assert {u.id for u in known.for_service("s")} == usable
    assert known.configured_count == sum(
        value["info"]["service"] == "s" for value in expected.values()
    )
    for upstream in known.for_service("s"):
        assert upstream.address == expected[upstream.id]["address"]


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60) | VALUES.map(lambda value: json.dumps(value).encode()))
def test_a_datagram_or_answer_from_anywhere_does_no_harm(data):
    decode_message(data)
    with pytest.raises(StoreUnavailable):
        decode_rows(data)


@pytest.mark.parametrize(
    "data",
    [
        b"[" * (MAX_DATAGRAM_BYTES - 1),
        b'["load","u",Infinity,0,2,1]',
        b'["load","u",1,0,2,NaN]',
        b'["hello","vm",["x"],"here",1]',
        b'["hello","vm","10.0.0.1","here",1]',
        b'["beacon","vm","here","10.0.0.1:99999999",{},1]',
        b'["beacon","vm","here","10.0.0.1:1",{"upstreams":"7"},1]',
        b'["beacon","vm","here","10.0.0.1:1",{"upstreams":1e400},1]',
        b'[["hello"]]',
    ],
)
def test_a_forged_datagram_is_no_message(data):
    assert decode_message(data) is None


def test_hundreds_of_foreign_entries_are_told_of_once_each_and_counted():
    log, lines = decision_log()
    entry_errors = EntryErrorLog(log)
    problems = [BadEntry("it is no JSON", f"x{n}") for n in range(150)]
    for _ in range(3):
        entry_errors.record("upstreams", problems)
    assert [json.loads(line)["key"] for line in lines] == [f"x{n}" for n in range(150)]
    assert entry_errors.count == 450
    entry_errors.record("upstreams", [BadEntry("its state is none", "x0")])
    assert json.loads(lines[-1])["why"] == "its state is none", "another reason is news"
