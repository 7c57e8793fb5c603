"""Which evidence on upstreams is told, and in which order."""

from ...fleet.loads import ITEM_SIZE, SUSPECT_REPEAT_INTERVAL, LocalLoad, select_load_items

PLENTY = 100 * ITEM_SIZE


def load(name, in_flight=0, latency_us=6000, suspect=False, measured=0.0):
    return LocalLoad(name, in_flight, latency_us, suspect, measured)


def names(items):
    return [item.upstream for item in items]


def test_suspects_go_first_then_the_largest_changes_within_the_room():
    told = {}
    select_load_items([load("a", 4), load("b", 4), load("c", 4)], told, PLENTY, 0.0)
    now = [load("a", 7), load("b", 40), load("c", 4, suspect=True)]
    assert names(select_load_items(now, told, 2 * ITEM_SIZE, 0.5)) == ["c", "b"]
    assert names(select_load_items(now, told, PLENTY, 0.6)) == ["a"], "the rest when there is room"


def test_small_changes_and_old_evidence_are_not_told():
    told = {}
    select_load_items([load("a", 4)], told, PLENTY, 0.0)
    assert select_load_items([load("a", 5), load("b", 9, measured=-60.0)], told, PLENTY, 0.1) == []


def test_no_room_means_no_items_and_nothing_counts_as_told():
    told = {}
    assert select_load_items([load("a", suspect=True)], told, -500.0, 0.0) == []
    assert names(select_load_items([load("a", suspect=True)], told, PLENTY, 0.1)) == ["a"]


def test_a_suspect_is_named_again_and_its_acquittal_is_told_at_once():
    told = {}
    bad, good = load("a", suspect=True, measured=5.0), load("a", measured=5.0)
    select_load_items([bad], told, PLENTY, 0.0)
    assert select_load_items([bad], told, PLENTY, 1.0) == []
    assert names(select_load_items([bad], told, PLENTY, SUSPECT_REPEAT_INTERVAL)) == ["a"]
    item = select_load_items([good], told, PLENTY, SUSPECT_REPEAT_INTERVAL + 0.1)[0]
    assert (item.suspect, item.age_ms) == (False, 99)
