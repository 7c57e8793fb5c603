"""Tests which filters a refused call leaves, and that a finished call is freed."""

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
    """A filter with a `leave` hook only."""

    def __init__(self, name, left_filters):
        self.name, self.left_filters = name, left_filters

    async def leave(self, exchange, clean):
        self.left_filters.append(self.name)


class EnterAndLeave(LeaveOnly):
    """A filter with both hooks; refuses calls if `refuses` is set."""

    refuses = False

    async def enter(self, exchange):
        if self.refuses:
            raise Refusal(503, Outcome.NOT_RUN, Reason.QUEUE_FULL, "Come back later.")


@pytest.mark.parametrize(("refusing", "expected"), [(1, ["a"]), (3, ["c", "b", "a"])])
def test_refused_call_leaves_only_the_filters_it_entered(refusing, expected):
    left_filters = []
    kinds = (LeaveOnly, EnterAndLeave, LeaveOnly, EnterAndLeave, LeaveOnly)
    filters = [kind(name, left_filters) for kind, name in zip(kinds, "abcde", strict=True)]
    filters[refusing].refuses = True
    pipeline = Pipeline(filters, None, RequestIds("vm-1", 1), ManualClock())

    async def call():
        request = Request(b"GET", b"/", [])
        answer = await pipeline.answer(request)
        await pipeline.finished(request, answer, True)
        await pipeline.finished(request, answer, True)
        return answer.status

    assert curio.run(call) == 503
    assert left_filters == expected and not pipeline.open_exchanges


class WeakExchange(Exchange):
    """An exchange that supports weak references."""

    __slots__ = ("__weakref__",)


def test_finished_call_is_freed_without_the_garbage_collector(monkeypatch):
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
