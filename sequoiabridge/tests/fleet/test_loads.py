"""Which load figures of upstreams are published, and in which order."""

from ...fleet.loads import LOAD_ITEM_SIZE, SUSPECT_REPEAT_INTERVAL, LocalLoad, select_load_items

AMPLE_ROOM = 100 * LOAD_ITEM_SIZE


def load(name, in_flight=0, latency_us=6000, suspect=False, measured_at=0.0):
    return LocalLoad(name, in_flight, latency_us, suspect, measured_at)


def names(items):
    return [item.upstream for item in items]


def test_suspects_go_first_then_the_largest_changes_within_the_room():
    published = {}
    select_load_items([load("a", 4), load("b", 4), load("c", 4)], published, AMPLE_ROOM, 0.0)
    current = [load("a", 7), load("b", 40), load("c", 4, suspect=True)]
    assert names(select_load_items(current, published, 2 * LOAD_ITEM_SIZE, 0.5)) == ["c", "b"]
    assert names(select_load_items(current, published, AMPLE_ROOM, 0.6)) == [
        "a"
    ], "the rest follows when there is room"


def test_small_changes_and_old_figures_are_not_published():
    published = {}
    select_load_items([load("a", 4)], published, AMPLE_ROOM, 0.0)
    assert (
        select_load_items(
            [load("a", 5), load("b", 9, measured_at=-60.0)], published, AMPLE_ROOM, 0.1
        )
        == []
    )


def test_without_room_no_items_are_sent_or_recorded_as_published():
    published = {}
    assert select_load_items([load("a", suspect=True)], published, -500.0, 0.0) == []
    assert names(select_load_items([load("a", suspect=True)], published, AMPLE_ROOM, 0.1)) == ["a"]


def test_a_suspect_is_published_periodically_and_its_recovery_at_once():
    published = {}
    bad, good = load("a", suspect=True, measured_at=5.0), load("a", measured_at=5.0)
    select_load_items([bad], published, AMPLE_ROOM, 0.0)
    assert select_load_items([bad], published, AMPLE_ROOM, 1.0) == []
    assert names(select_load_items([bad], published, AMPLE_ROOM, SUSPECT_REPEAT_INTERVAL)) == ["a"]
    item = select_load_items([good], published, AMPLE_ROOM, SUSPECT_REPEAT_INTERVAL + 0.1)[0]
    assert (item.suspect, item.age_ms) == (False, 99)
