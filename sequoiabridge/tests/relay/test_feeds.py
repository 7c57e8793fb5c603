"""Following the store: first reading, changes, lost history, outages."""

from random import Random

import curio

from ...exceptions import HistoryLost, StoreUnavailable
from ...relay.feeds import LONG_POLL_TIMEOUT, Feed, Follower
from ...store.rows import Rows, StoredRow
from ...timers import ManualClock
from .fakes import decision_log


class ScriptedFeed(Feed):
    """Gives scripted answers; an exception among them is raised. Ends by waiting for ever."""

    def __init__(self, *answers):
        super().__init__()
        self.answers = list(answers)
        self.asked = []
        self.done = curio.Event()

    async def next(self, what):
        self.asked.append(what)
        if not self.answers:
            await self.done.set()
            await curio.sleep(3600)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def read_all(self):
        return await self.next("all")

    async def read_changes(self, after, wait):
        return await self.next((after, wait))

    def decode(self, row):
        return row.key


def update(version, *keys):
    return Rows([StoredRow("t", "", key, b"", version) for key in keys], version)


def follow(*answers):
    """Play answers; return what was asked, what was taken in, and the losses seen."""
    feed, taken, losses = ScriptedFeed(*answers), [], []
    log, _ = decision_log()

    async def main():
        follower = Follower(
            feed,
            ManualClock(),
            Random(1),
            log,
            lambda u: taken.append(("all", u.version, u.entries)),
            lambda u: taken.append(("changes", u.version, u.entries)),
            lambda: losses.append("lost"),
            lambda: losses.append("regained"),
        )
        await follower.set_active(True)
        task = await curio.spawn(follower.run())
        await curio.timeout_after(5, feed.done.wait)
        await task.cancel()

    curio.run(main)
    return feed.asked, taken, losses


def test_a_store_without_any_row_is_read_once_and_followed_from_version_0():
    asked, taken, _ = follow(update(0))
    assert asked == ["all", (0, LONG_POLL_TIMEOUT)] and taken == [("all", 0, [])]


def test_changes_are_taken_in_and_gone_on_from():
    asked, taken, _ = follow(update(3, "a"), update(5, "b"), update(7))
    assert [a for a in asked if a != "all"] == [
        (3, LONG_POLL_TIMEOUT),
        (5, LONG_POLL_TIMEOUT),
        (7, LONG_POLL_TIMEOUT),
    ]
    assert taken == [("all", 3, ["a"]), ("changes", 5, ["b"])], "an empty answer is no change"


def test_everything_is_read_again_when_history_is_lost():
    asked, taken, losses = follow(update(3), HistoryLost("gone"), update(9, "x"))
    assert asked[:3] == ["all", (3, LONG_POLL_TIMEOUT), "all"] and losses == []
    assert taken[-1] == ("all", 9, ["x"])


def test_after_an_outage_the_store_is_asked_for_an_answer_at_once():
    down = StoreUnavailable("away")
    asked, _, losses = follow(update(3), down, down, update(4), update(5))
    assert asked[1:5] == [(3, LONG_POLL_TIMEOUT), (3, 0.0), (3, 0.0), (4, LONG_POLL_TIMEOUT)]
    assert losses == ["lost", "regained"]


def test_a_question_that_is_taken_back_is_asked_again_for_an_answer_at_once():
    feed, taken = ScriptedFeed(update(3)), []
    log, _ = decision_log()

    async def main():
        follower = Follower(
            feed, ManualClock(), Random(1), log, taken.append, taken.append, list, list
        )
        await follower.set_active(True)
        task = await curio.spawn(follower.run())
        await curio.timeout_after(5, feed.done.wait)
        assert follower.poll_sent_at is not None
        feed.answers.append(update(4, "a"))
        await follower.repoll()
        while follower.version != 4:
            await curio.sleep(0)
        assert not follower.store_unavailable
        await task.cancel()

    curio.run(main)
    assert feed.asked == ["all", (3, LONG_POLL_TIMEOUT), (3, 0.0)]
