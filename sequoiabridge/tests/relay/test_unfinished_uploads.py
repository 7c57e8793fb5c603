"""Tests of the bound on uploads that occupy upstreams while they come in."""

from contextlib import ExitStack

import pytest

from ...callers.memory import STALL_SECONDS
from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.exchange import Body, Request
from ...relay.bodies import PartlyBufferedBody
from ...relay.call import RelayedCall
from ...relay.metadata import CallMetadata
from ...relay.unfinished_uploads import UnfinishedUploads

SLOTS = 8


class Events:
    def __init__(self):
        self.ids = []

    def event(self, name, **fields):
        self.ids.append(fields["id"])


class SlowRest(Body):
    def __init__(self):
        self.stalled = 0.0
        self.evicted = False

    async def read(self):
        return b"x"

    def stalled_seconds(self):
        return self.stalled

    def evict(self):
        self.evicted = True


def make_call(number):
    request = Request(b"POST", b"/", [], None, PartlyBufferedBody(b"x", SlowRest()))
    call = RelayedCall(f"u{number}", request, CallMetadata(b"", None), 0.0)
    call.service = "intake"
    return call


def admitted(stack, count, slots=SLOTS):
    uploads = UnfinishedUploads(lambda service: slots, Events())
    calls = [make_call(number) for number in range(count)]
    for call in calls:
        stack.enter_context(uploads.admit(call))
    return uploads, calls


def rest(call):
    return call.request.body.rest


def test_uploads_that_are_not_whole_leave_half_of_the_slots():
    with ExitStack() as stack:
        uploads, calls = admitted(stack, SLOTS // 2)
        with pytest.raises(Refusal) as found:
            stack.enter_context(uploads.admit(make_call(9)))
        assert found.value.reason is Reason.UPLOAD_CAPACITY
        assert found.value.status == 503 and found.value.outcome is Outcome.NOT_RUN
        calls[0].request.body.is_whole = True
        stack.enter_context(uploads.admit(make_call(9)))
    assert uploads.calls == {} and uploads.refused == 1


def test_the_longest_stalled_upload_makes_room_for_another():
    with ExitStack() as stack:
        uploads, calls = admitted(stack, SLOTS // 2)
        rest(calls[1]).stalled, rest(calls[2]).stalled = STALL_SECONDS, 2 * STALL_SECONDS
        stack.enter_context(uploads.admit(make_call(9)))
        assert [rest(call).evicted for call in calls] == [False, False, True, False]


def test_stalled_uploads_occupy_a_quarter_of_the_slots_at_most():
    with ExitStack() as stack:
        uploads, calls = admitted(stack, SLOTS // 2)
        uploads.check()
        assert uploads.evicted == 0
        for number, call in enumerate(calls):
            rest(call).stalled = STALL_SECONDS + number
        uploads.check()
        assert uploads.decisions.ids == ["u3", "u2"]


def test_one_upload_is_always_admitted():
    with ExitStack() as stack:
        uploads, (call,) = admitted(stack, 1, slots=1)
        rest(call).stalled = 100 * STALL_SECONDS
        uploads.check()
        assert not rest(call).evicted


def test_a_buffered_body_is_not_counted():
    uploads = UnfinishedUploads(lambda service: 0, Events())
    call = make_call(1)
    call.request.body = None
    with uploads.admit(call):
        assert uploads.calls == {}
