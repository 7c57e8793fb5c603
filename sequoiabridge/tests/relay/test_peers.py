"""What a daemon gives out of a feed: changes where it can tell, all rows where it cannot."""

from ...relay.feeds import REMOVALS_KEPT, Feed
from ...relay.peers import decoded, encoded
from ...store.rows import Changes, Rows, StoredRow


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
    feed.replaced(Rows([row("a", 1), row("b", 2)], 2))
    feed.changed(Changes([row("c", 5), row("a", 6, None)], 6))
    return feed


def keys(rows):
    return sorted((r.key, r.value is None) for r in rows)


def test_changes_after_a_version_have_new_and_removed_rows():
    assert keys(known().since(2)) == [("a", True), ("c", False)]
    assert keys(known().since(6)) == []


def test_what_was_before_the_first_reading_is_not_known():
    assert known().since(1) is None and Plain().since(0) is None


def test_rows_that_a_second_reading_misses_count_as_removed():
    feed = known()
    feed.replaced(Rows([row("c", 5)], 9))
    assert keys(feed.since(6)) == [("b", True)]


def test_forgotten_removals_make_older_versions_unknown():
    feed = known()
    for number in range(REMOVALS_KEPT + 5):
        feed.changed(Changes([row(f"x{number}", 10 + number, None)], 10 + number))
    assert feed.since(6) is None and feed.since(10 + REMOVALS_KEPT) is not None


def test_both_kinds_are_read_back_by_another_daemon():
    for made in (Rows([row("a", 1)], 3), Changes([row("a", 4, None), row("b", 4)], 4)):
        again = decoded(encoded(made))
        assert type(again) is type(made) and again.version == made.version
        assert keys(again.rows) == keys(made.rows)
