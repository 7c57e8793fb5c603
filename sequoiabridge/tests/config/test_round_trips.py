"""Encoding, INI text and step-by-step changes all yield the same document."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ...config.change import Change, RemoveEntry, SetEntry
from ...config.document import Document
from ...config.loading import diff, parse_document
from ...config.units import Duration, Size
from .fleet import change

NAMES = st.sampled_from(["a", "b", "c"])
BOOLEANS = st.sampled_from(["yes", "no"])
SECONDS = st.floats(0.001, 86400.0).map(lambda s: f"{s:.9f}s")
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


def lookups(document):
    """Return the results of the lookup tables; this also builds the tables."""
    return [
        (
            document.upstreams_of(name),
            document.rule_for(name, b"GET", b"/x"),
            document.service_for(b"host", f"/{name}/x"),
        )
        for name in sorted(document.services)
    ]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.lists(ENTRY, max_size=4), max_size=6))
def test_small_changes_yield_the_same_as_whole_documents(changes):
    document = parse_document(BASE).ok
    for entries in changes:
        lookups(document)
        assert Change.decode(Change(entries).encode()).ok == Change(entries)
        result = change(document, *entries)
        if result.is_error():
            continue
        document = change(document, *diff(document, result.ok).entries).ok
        assert Document.decode(result.ok.encode()).ok.to_ini() == document.to_ini()
    fresh = parse_document(document.to_ini()).ok
    assert not diff(document, fresh) and not diff(fresh, document)
    assert document.by_address == fresh.by_address
    assert lookups(document) == lookups(fresh)


@settings(derandomize=True, deadline=None)
@given(st.floats(0.0, 86400.0), st.integers(0, 10**12))
def test_units_are_formatted_without_loss_down_to_a_nanosecond(seconds, size):
    duration, bytes_ = Duration(""), Size("")
    once = duration.parse(duration.format(seconds))
    assert abs(once - seconds) <= 1e-9 and duration.parse(duration.format(once)) == once
    assert bytes_.parse(bytes_.format(size)) == size
