"""What a daemon gives out of a feed: changes where it can tell, all rows where it cannot."""

import json

from ...relay.feeds import MAX_REMOVALS, Feed, Follower
from ...relay.peer_feeds import MAX_CACHED_RESPONSES, FeedResponses, decode_rows, encode_rows
from ...store.rows import Changes, Rows, StoredRow
from ...timers import ManualClock
from .fakes import decision_log


class Plain(Feed):
    """A feed whose entries are the keys."""

    async def read_all(self):
        raise NotImplementedError

    async def read_changes(self, after, wait):
        raise NotImplementedError

    def decode(self, row):
        return row.key


def row(key, version, value=b"v"):
    return StoredRow("t", "", key, value, version)


def known():
    feed = Plain()
    feed.replace_rows(Rows([row("a", 1), row("b", 2)], 2))
    feed.update_rows(Changes([row("c", 5), row("a", 6, None)], 6))
    return feed


def keys(rows):
    return sorted((r.key, r.value is None) for r in rows)


def test_changes_after_a_version_have_new_and_removed_rows():
    assert keys(known().changes_since(2)) == [("a", True), ("c", False)]
    assert keys(known().changes_since(6)) == []


def test_what_was_before_the_first_reading_is_not_known():
    assert known().changes_since(1) is None and Plain().changes_since(0) is None


def test_rows_that_a_second_reading_misses_count_as_removed():
    feed = known()
    feed.replace_rows(Rows([row("c", 5)], 9))
    assert keys(feed.changes_since(6)) == [("b", True)]


def test_forgotten_removals_make_older_versions_unknown():
    feed = known()
    for number in range(MAX_REMOVALS + 5):
        feed.update_rows(Changes([row(f"x{number}", 10 + number, None)], 10 + number))
    assert feed.changes_since(6) is None and feed.changes_since(10 + MAX_REMOVALS) is not None


def test_both_kinds_are_read_back_by_another_daemon():
    for made in (Rows([row("a", 1)], 3), Changes([row("a", 4, None), row("b", 4)], 4)):
        again = decode_rows(encode_rows(made))
        assert type(again) is type(made) and again.version == made.version
        assert keys(again.rows) == keys(made.rows)


def large_configuration(routes):
    """Return a configuration's row, of the kind and size that operators write."""
    routes = [
        {
            "route": f"route-{number * 7919 % 10007:x}",
            "path": f"/{number * 7919 % 10007:x}{number:x}/",
            "goes to": f"service-{number % 3}",
            "may run more than once": True,
            "longest wait": 2.0,
            "in time within": 0.6,
            "attempts": 2,
            "rank": number % 3,
        }
        for number in range(routes)
    ]
    return row("config", 18, json.dumps(routes).encode())


def test_a_configuration_of_many_routes_reaches_a_data_centre_over_a_narrow_link_in_time():
    readers, link_mbps, in_force = 16, 5.0, 2.5
    data = encode_rows(Changes([large_configuration(1680)], 18))
    assert readers * len(data) * 8 / (link_mbps * 1_000_000) < in_force / 2


def follower_of(feed):
    log, _ = decision_log()
    nothing = lambda *update: None  # noqa: E731
    return Follower(feed, ManualClock(), None, log, nothing, nothing, nothing, nothing)


def test_an_answer_is_encoded_once_for_all_that_ask_and_anew_for_a_new_version():
    follower = follower_of(Plain())
    responses = FeedResponses({"f": follower})
    assert responses.answer("f", None) is None and responses.answer("other", None) is None
    follower.apply_snapshot(Rows([row("a", 1)], 3))
    first = responses.answer("f", None)
    assert responses.answer("f", None) is first
    follower.apply_changes(Changes([row("b", 5)], 5))
    assert keys(decode_rows(responses.answer("f", 3)).rows) == [("b", False)]
    assert len(decode_rows(responses.answer("f", None)).rows) == 2
    for after in range(3 * MAX_CACHED_RESPONSES):
        responses.answer("f", after)
    assert len(responses.cache) == MAX_CACHED_RESPONSES
