"""Rejection of forged, damaged and replayed frames, and compatibility with newer daemons."""

import msgspec
import pytest

from ...exceptions import ConfigurationError
from ...fleet.base import CrashItem, DrainItem, MemberState, Urgency
from ...fleet.replay import COUNT_BITS, REPLAY_WINDOW, Admission, ReplayGuard
from ...fleet.wire import (
    MAX_FRAME_BYTES,
    WIRE_VERSION,
    Codec,
    DropReason,
    Kind,
    Message,
    Update,
    parse_keys,
    sign,
)
from .simulation import KEY, FleetSimulation, incarnation, live_names, state

OWN_ADDRESS, PEER_ADDRESS = "10.0.0.1:7000", "10.0.0.2:7000"


def message(**more):
    return Message(int(Kind.PING), "vm2", PEER_ADDRESS, "dc", 5, 1, 7, **more)


def test_a_frame_round_trips():
    sent = message(updates=[Update("vm3", "10.0.0.3:7000", "dc", 9, 1)])
    assert (
        Codec([KEY], OWN_ADDRESS).decode(Codec([KEY], PEER_ADDRESS).encode(sent, OWN_ADDRESS)).ok
        == sent
    )


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda f: f[:-1] + bytes([f[-1] ^ 1]), DropReason.MAC),
        (lambda f: f[:5] + bytes([f[5] ^ 1]) + f[6:], DropReason.MAC),
        (lambda f: f[:-3], DropReason.MAC),
        (lambda f: f[:17], DropReason.TRUNCATED),
        (lambda f: b"", DropReason.TRUNCATED),
        (lambda f: f + bytes(MAX_FRAME_BYTES), DropReason.OVERSIZE),
        (lambda f: bytes([WIRE_VERSION + 1]) + f[1:], DropReason.UNKNOWN_VERSION),
        (lambda f: f[:1] + sign(KEY, OWN_ADDRESS, b"\x91\x01") + b"\x91\x01", DropReason.MALFORMED),
    ],
)
def test_a_corrupt_frame_is_dropped_with_its_reason(corrupt, reason):
    frame = Codec([KEY], PEER_ADDRESS).encode(message(), OWN_ADDRESS)
    assert Codec([KEY], OWN_ADDRESS).decode(corrupt(frame)).error is reason


def test_a_frame_for_another_vm_or_under_another_key_is_dropped():
    frame = Codec([KEY], PEER_ADDRESS).encode(message(), OWN_ADDRESS)
    assert Codec([KEY], "10.0.0.3:7000").decode(frame).error is DropReason.MAC
    assert Codec([b"x" * 32], OWN_ADDRESS).decode(frame).error is DropReason.MAC


def test_keys_can_be_rotated_while_the_fleet_runs():
    new = b"n" * 32
    before, during = Codec([KEY, new], OWN_ADDRESS), Codec([new, KEY], PEER_ADDRESS)
    assert before.decode(during.encode(message(), OWN_ADDRESS)).is_ok()
    assert during.decode(before.encode(message(), PEER_ADDRESS)).is_ok()


def test_a_setting_holds_one_or_two_long_keys():
    assert parse_keys(f"{'o' * 16} {'n' * 16}") == [b"o" * 16, b"n" * 16]
    for text in ("", "short", " ".join(["k" * 16] * 3)):
        with pytest.raises(ConfigurationError, match="key"):
            parse_keys(text)


def test_an_older_daemon_reads_the_known_fields_of_a_newer_message():
    class NewItem(msgspec.Struct, tag="new", array_like=True):
        text: str

    codec = Codec([KEY], OWN_ADDRESS)
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(message()))
    body[12] = [["vm3", "10.0.0.3:7000", "dc", 9, 0, "a field more"]]
    body[13] = [
        [codec.encode_item(NewItem("x")), "vm2", 0],
        [["drain", "up1", 3, True, "more"], "vm2"],
    ]
    raw = msgspec.msgpack.encode([*body, "a field more"])
    got = codec.decode(bytes([WIRE_VERSION]) + sign(KEY, OWN_ADDRESS, raw) + raw).ok
    assert got.updates[0].name == "vm3"
    assert codec.decode_item(got.parcels[0].item).error is DropReason.UNKNOWN_ITEM
    assert codec.decode_item(got.parcels[1].item).ok == DrainItem("up1", 3)


def test_a_sequence_number_is_admitted_once_in_any_order():
    guard, session = ReplayGuard(), 5 << COUNT_BITS
    assert [guard.admit("a", session, n) for n in (10, 12, 11)] == [Admission.NEW] * 3
    assert guard.admit("a", session + 1, 11) is Admission.REPLAYED
    assert guard.admit("a", session, 10**12) is Admission.NEW
    assert guard.admit("a", session, 10**12 - REPLAY_WINDOW) is Admission.REPLAYED
    assert guard.admit("a", 6 << COUNT_BITS, 1) is Admission.NEW
    assert guard.admit("a", session, 10**13) is Admission.OLD_SESSION


def test_replayed_frames_do_not_affect_the_same_or_a_replaced_vm():
    simulation = FleetSimulation(2)
    simulation.run(5)
    first, second = simulation.all()
    recorded = []
    send = simulation.send
    simulation.send = lambda s, t, f: (
        (recorded.append(f), send(s, t, f)) if t == OWN_ADDRESS else send(s, t, f)
    )
    second.publish(CrashItem("print", "up1", 1.0), Urgency.CRASH)
    simulation.run(1)
    received = []
    first.subscribe(CrashItem, lambda item, sender: received.append(item))
    dropped = first.counters.dropped[DropReason.REPLAYED]
    for frame in recorded:
        first.receive(frame)
    assert received == []
    assert first.counters.dropped[DropReason.REPLAYED] == dropped + len(recorded)

    simulation.kill(second)
    fresh = simulation.add(1)
    fresh.subscribe(CrashItem, lambda item, sender: received.append(item))
    for frame in recorded:
        fresh.receive(frame)
        assert live_names(fresh) == []
    simulation.run(20)
    assert received == []
    assert live_names(fresh) == []


def test_an_unknown_kind_and_state_are_dropped_and_counted():
    simulation = FleetSimulation(2)
    simulation.run(5)
    first, second = simulation.all()
    sender = second.sender
    for kind, states in ((99, []), (Kind.GOSSIP, [Update("vm9", "10.0.0.9:7000", "dc", 1, 77)])):
        sender.sequence += 1
        odd = Message(int(kind), "vm2", PEER_ADDRESS, "dc", incarnation(second), sender.sequence, 0)
        odd.to_incarnation, odd.updates = incarnation(first), states
        first.receive(second.codec.encode(odd, OWN_ADDRESS))
    assert first.counters.dropped[DropReason.UNKNOWN_KIND] == 1
    assert state(first, "vm9") is None
    assert state(first, "vm2") is MemberState.ALIVE
