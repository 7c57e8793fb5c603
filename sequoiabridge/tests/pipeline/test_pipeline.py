"""Which filters a call leaves when one refuses it, and that nothing of it stays behind."""

import gc
import weakref

import curio
import pytest

from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.base import Filter
from ...pipeline.exchange import Exchange, Request
from ...pipeline.pipeline import Pipeline, RequestIds
from ...timers import ManualClock


class LeaveOnly(Filter):
    """Has only a hook on the way out."""

    def __init__(self, name, seen):
        self.name, self.seen = name, seen

    async def leave(self, exchange, clean):
        self.seen.append(self.name)


class EnterAndLeave(LeaveOnly):
    """Has both hooks; refuses if told to."""

    refuses = False

    async def enter(self, exchange):
        if self.refuses:
            raise Refusal(503, Outcome.NOT_RUN, Reason.QUEUE_FULL, "Come back later.")


@pytest.mark.parametrize(("refusing", "left"), [(1, ["a"]), (3, ["c", "b", "a"])])
def test_a_refused_call_leaves_just_the_filters_that_it_has_entered(refusing, left):
    seen = []
    kinds = (LeaveOnly, EnterAndLeave, LeaveOnly, EnterAndLeave, LeaveOnly)
    filters = [kind(name, seen) for kind, name in zip(kinds, "abcde", strict=True)]
    filters[refusing].refuses = True
    pipeline = Pipeline(filters, None, RequestIds("vm-1", 1), ManualClock())

    async def call():
        request = Request(b"GET", b"/", [])
        answer = await pipeline.answer(request)
        await pipeline.finished(request, answer, True)
        await pipeline.finished(request, answer, True)
        return answer.status

    assert curio.run(call) == 503
    assert seen == left and not pipeline.open_exchanges


class WeakExchange(Exchange):
    """An exchange whose end can be noticed."""

    __slots__ = ("__weakref__",)


def test_a_call_that_has_ended_is_freed_without_the_garbage_collector(monkeypatch):
    references = []

    class AnsweringFilter(Filter):
        async def enter(self, exchange):
            references.append(weakref.ref(exchange))
            exchange.answer = object()

    monkeypatch.setattr("sequoiabridge.pipeline.pipeline.Exchange", WeakExchange)
    pipeline = Pipeline([AnsweringFilter()], None, RequestIds("vm-1", 1), ManualClock())

    async def call():
        request = Request(b"GET", b"/", [])
        await pipeline.finished(request, await pipeline.answer(request), True)

    gc.disable()
    try:
        curio.run(call)
        assert references[0]() is None
    finally:
        gc.enable()
