"""Tests the answers to spooled uploads, and how answers of upstreams to deliveries are taken."""

import hashlib
from types import SimpleNamespace

import curio
import msgspec
import pytest

from ...exceptions import CallerGone, Refusal
from ...operators.state import upload_row
from ...outcome import Outcome, Reason
from ...pipeline.exchange import Answer, Exchange, Request
from ...pipeline.upload_sender import UploadSender
from ...pipeline.uploads import UploadHandler, delivery_request, delivery_result
from ...store.upload_delivery import DeliveryOutcome
from ...store.upload_manifest import UploadState
from ...store.upload_table import LATE_CALL_TIMEOUT
from ..standins.uploads import Bytes, World, finish, incoming
from .fakes import Behaviour, DispatchScene

DATA = b"image of the reader"


WINDOW = 20.0


def handle_upload(vm, body, length, deadline=0.0, **headers):
    fields = [(k.replace("_", "-").encode(), v) for k, v in headers.items()]
    request = Request(b"PUT", b"/image", fields, length, body)
    exchange = Exchange("r1", request, 0.0)
    exchange.caller = "vendor"
    exchange.deadline = deadline
    exchange.service = SimpleNamespace(name="mottag")
    exchange.rule = SimpleNamespace(max_body=1000)
    return UploadHandler(vm).handle(exchange)


def call(vm, data=DATA, **headers):
    answer = finish(handle_upload(vm, Bytes(data) if data else None, len(data), **headers))
    return answer.status, dict(answer.headers), msgspec.json.decode(finish(answer.body.read()))


def get_refusal(vm, *args, **headers):
    with pytest.raises(Refusal) as caught:
        call(vm, *args, **headers)
    return caught.value


def test_upload_is_accepted_looked_up_and_delivered_with_id_and_digest():
    world = World()
    vm = world.vm("a")
    status, headers, _ = call(vm, content_type=b"image/x", host=b"h", sequoia_deadline_ms=b"9")
    upload = headers[b"sequoia-upload-id"]
    assert status == 202
    status, headers, status_body = call(world.vm("b"), b"", sequoia_upload_id=upload)
    assert (status, headers[b"sequoia-upload-offset"], status_body["state"]) == (
        200,
        b"19",
        "accepted",
    )
    manifest = world.manifests()[0]
    sent = delivery_request(manifest, None)
    digest = hashlib.sha256(DATA).hexdigest().encode()
    assert sent.length == 19 and set(sent.headers) == {
        (b"content-type", b"image/x"),
        (b"sequoia-caller", b"vendor"),
        (b"sequoia-upload-id", upload),
        (b"sequoia-upload-digest", digest),
    }


def test_caller_can_look_up_and_resume_by_its_key_alone():
    world = World()
    vm = world.vm("a")
    with pytest.raises(CallerGone):
        finish(handle_upload(vm, Bytes(DATA, cut=9), 19, idempotency_key=b"k"))
    known = {"idempotency_key": b"k"}
    _, headers, _ = call(vm, b"", sequoia_upload_offset=b"?", **known)
    assert headers[b"sequoia-upload-offset"] == b"9"
    status, _, status_body = call(vm, DATA[9:], sequoia_upload_offset=b"9", **known)
    assert (status, status_body["state"], status_body["offset"]) == (202, "accepted", 19)


def test_refusal_reports_the_outcome_if_the_store_is_down_or_unresponsive():
    world = World()
    world.tables.faults.down = True
    down = get_refusal(world.vm("a"))
    assert (down.status, down.outcome, down.reason) == (503, Outcome.NOT_RUN, Reason.STORE_DOWN)
    assert down.retry_after > 0
    world.tables.faults.down = False
    world.tables.faults.late = 99
    assert get_refusal(world.vm("a")).outcome is Outcome.NOT_RUN
    world.tables.land_late()
    assert world.manifests()[0].state is UploadState.OPEN
    world.tables.faults.late = 0
    vm = world.vm("a", chunks_per_commit=99, retry_timeout=1.0)
    vm.chunks.put = lambda *_: make_unresponsive(world)
    lost = get_refusal(vm)
    assert (lost.outcome, lost.reason) == (Outcome.UNKNOWN, Reason.STORE_DOWN)


@pytest.mark.parametrize("fault, value", [("down", True), ("slow", 100.0), ("lose_writes", 99)])
@pytest.mark.parametrize("when", ["chunk", "accept"])
def test_store_failure_during_an_upload_is_reported_by_the_deadline(fault, value, when):
    world = World()
    vm = world.vm("a", chunks_per_commit=99)
    started = world.clock.now()
    task = handle_upload(vm, Bytes(DATA), len(DATA), deadline=started + WINDOW)
    while len(world.objects.objects) < (2 if when == "chunk" else 5):
        task.send(None)
    setattr(world.tables.faults, fault, value)
    setattr(world.objects.faults, fault, value)
    with pytest.raises(Refusal) as caught:
        finish(task)
    open_end = when == "accept" and fault != "down"
    assert caught.value.outcome is (Outcome.UNKNOWN if open_end else Outcome.NOT_RUN)
    assert caught.value.retry_after > 0
    assert world.clock.now() - started < WINDOW + 4 * LATE_CALL_TIMEOUT


def test_acceptance_that_cannot_be_read_back_has_an_unknown_outcome():
    world = World()
    vm = world.vm("a", chunks_per_commit=99)
    task = handle_upload(vm, Bytes(DATA), len(DATA), deadline=world.clock.now() + WINDOW)
    while len(world.objects.objects) < 5:
        task.send(None)
    world.tables.faults.lose_answers = 1
    while world.manifests()[0].state is UploadState.OPEN:
        task.send(None)
    world.recover()
    read, reads = vm.table.tables.read, []

    async def once(*args):
        reads.append(args)
        world.tables.faults.lose_reads = 99 if len(reads) > 1 else 0
        return await read(*args)

    vm.table.tables.read = once
    with pytest.raises(Refusal) as caught:
        finish(task)
    assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("pause", [0.0, 30.0])
def test_upload_that_outlasts_its_window_is_accepted_while_the_store_answers(pause):
    world = World()

    class Slow(Bytes):
        async def read(self):
            world.clock.advance(pause)
            return await super().read()

    answer = finish(
        handle_upload(world.vm("a"), Slow(DATA), 19, deadline=world.clock.now() + WINDOW)
    )
    assert answer.status == 202


async def make_unresponsive(world):
    world.tables.faults.late = 99


def test_refusals_have_their_status_and_reason():
    world = World()
    vm = world.vm("a")
    upload = call(vm, idempotency_key=b"k")[1][b"sequoia-upload-id"]
    other = get_refusal(vm, b"other", idempotency_key=b"k")
    assert (other.status, other.reason) == (422, Reason.KEY_REUSED)
    for offset, status in ((b"16", 422), (b"17", 409), (b"99", 409)):
        named = {"sequoia_upload_id": upload, "sequoia_upload_offset": offset}
        assert get_refusal(vm, b"e" * (19 - min(19, int(offset))), **named).status == status
    assert get_refusal(vm, b"", sequoia_upload_id=b"nobody").status == 404
    assert get_refusal(vm, b"x", sequoia_upload_id=upload).status == 400
    assert get_refusal(vm, b"x", sequoia_upload_offset=b"3").status == 400
    assert get_refusal(vm, b"x" * 1001).reason is Reason.BODY_TOO_LARGE
    wrong = get_refusal(vm, DATA, sequoia_upload_digest=b"0" * 64)
    assert wrong.reason is Reason.KEY_REUSED and len(world.manifests()) == 3


@pytest.mark.parametrize(
    ("status", "echo", "expected"),
    [
        (200, None, DeliveryOutcome.CONFIRMED),
        (200, b"d", DeliveryOutcome.ALREADY_STORED),
        (200, b"e", DeliveryOutcome.RETRY),
        (503, b"d", DeliveryOutcome.RETRY),
        (302, None, DeliveryOutcome.RETRY),
        (404, None, DeliveryOutcome.RETRY),
        (422, None, DeliveryOutcome.REFUSED),
    ],
)
def test_only_a_confirmation_of_the_same_content_counts(status, echo, expected):
    manifest = SimpleNamespace(digest="d")
    headers = [] if echo is None else [(b"sequoia-upload-digest", echo)]
    assert delivery_result(manifest, Answer(status, headers, 0, None)).outcome is expected


def deliver_from_several_vms(world, behaviour):
    """Deliver one upload from several VMs in turn; return its id and the upstreams reached."""
    scene = DispatchScene(behaviour, behaviour, behaviour)
    request = incoming(DATA)
    request.service = "s"
    upload = finish(world.vm("a").receive(request)).id
    for name in "abcd":
        deliveries = world.deliveries(world.vm(name))
        deliveries.send = UploadSender(
            scene.services, scene.connector, scene.observer, scene.clock
        ).send
        world.clock.advance(1000.0)
        curio.run(deliveries.deliver, upload)
    return upload, [address for address, _ in scene.connector.received]


def test_upload_fails_after_crashing_two_upstreams_in_the_whole_fleet():
    world = World()
    upload, reached_addresses = deliver_from_several_vms(world, Behaviour.CRASH)
    assert len(reached_addresses) == 2 == len(set(reached_addresses))
    row = upload_row(finish(world.vm("e").list_undelivered(1))[0], 0.0)
    assert (row.state, len(row.crashed.split(", "))) == ("failed", 2)
    assert all(name in row.error for name in row.crashed.split(", "))
    world.check({upload: DATA})
    finish(world.vm("e").release(upload))
    assert world.manifests()[0].crashed == ()
    world.recover()
    assert world.upstream.kept == {upload: DATA}


def test_reset_by_a_reachable_upstream_is_no_crash():
    world = World()
    _, reached_addresses = deliver_from_several_vms(world, Behaviour.RESET)
    manifest = world.manifests()[0]
    assert (manifest.state, manifest.crashed) == (UploadState.ACCEPTED, ())
    assert len(reached_addresses) > 2


def test_drain_in_the_answer_to_a_delivery_is_applied():
    world = World()
    scene = DispatchScene(Behaviour.ANSWER_DRAINING)
    request = incoming(DATA)
    request.service = "s"
    upload = finish(world.vm("a").receive(request)).id
    deliveries = world.deliveries(world.vm("a"))
    sender = UploadSender(scene.services, scene.connector, scene.observer, scene.clock)
    deliveries.send = sender.send
    curio.run(deliveries.deliver, upload)
    assert scene.services.by_name["s"].pool.upstreams["u1"].draining == 7
