"""Tests of the key by which the fleet's daemons recognize each other."""

import curio

from ....exceptions import ConditionFailed, StoreUnavailable
from ....relay.paths import fleet_key
from ....relay.paths.fleet_key import KEY, TABLE, FleetKey
from ....store.rows import Rows, StoredRow
from ....timers import SystemClock
from .peer_scene import Decisions


class OneRow:
    """A store that holds the row of the key; it fails some calls first."""

    def __init__(self, value=None, failures=0):
        self.value = value
        self.failures = failures
        self.reads = self.writes = 0

    async def rows(self, table, part="", start="", end="", limit=0):
        """Return the row."""
        self.reads += 1
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("Away.")
        rows = [] if self.value is None else [StoredRow(table, "", start, self.value, 1)]
        return Rows(rows, 1)

    async def transact(self, conditions, writes):
        """Write the row unless it exists."""
        if self.value is not None:
            raise ConditionFailed("Changed.")
        self.writes += 1
        self.value = writes[0].value


def make_key(store):
    """Return a key that is not read yet."""
    return FleetKey(store, Decisions(), SystemClock())


def test_the_first_daemon_creates_the_key_and_the_others_read_it():
    store = OneRow()
    keys = [make_key(store) for _ in range(5)]

    async def load_all():
        async with curio.TaskGroup() as tasks:
            for key in keys:
                await tasks.spawn(key.load)

    curio.run(load_all)
    assert store.writes == 1 and len({key.value for key in keys}) == 1
    assert keys[0].matches(keys[1].token("a", "b"), "a", "b") and len(keys[0].value) >= 32


def test_a_key_that_is_not_known_matches_nothing():
    key = make_key(OneRow())
    assert not key.matches("", "a", "b") and not key.matches(key.token("a", "b"), "a", "b")


def test_reading_the_key_is_repeated_until_the_store_answers(monkeypatch):
    monkeypatch.setattr(fleet_key, "RETRY_SECONDS", 0.01)
    store = OneRow(b"ab12", failures=3)
    key = make_key(store)
    curio.run(key.load)
    assert (key.value, store.reads) == ("ab12", 4)


def test_a_row_that_holds_no_key_is_reported_and_not_overwritten(monkeypatch):
    monkeypatch.setattr(fleet_key, "INVALID_RETRY_SECONDS", 0.01)
    store = OneRow(b"two words\r\n")
    key = make_key(store)

    async def repair():
        loading = await curio.spawn(key.load)
        while not key.decisions.events:
            await curio.sleep(0.005)
        store.value = b"ab12"
        await loading.join()

    curio.run(repair)
    event, fields = key.decisions.events[0]
    assert event == "fleet-key-invalid" and TABLE in fields["why"] and KEY in fields["why"]
    assert key.value == "ab12"


def test_a_key_that_does_not_match_is_read_again_but_not_at_once_again():
    store = OneRow(b"ab12")
    key = make_key(store)
    curio.run(key.load)
    store.value = b"cd34"
    curio.run(key.reload)
    assert key.value == "ab12"
    key.loaded_at -= fleet_key.MIN_RELOAD_SECONDS
    curio.run(key.reload)
    assert key.value == "cd34"
