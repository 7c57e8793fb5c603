"""Encodes messages between daemons as datagrams, and checks and decodes those of peers."""

from __future__ import annotations

import json
from collections.abc import Callable

from ..balancing.load import UpstreamLoad
from ..exceptions import BadEntry
from ..untrusted_json import (
    as_address,
    as_integer,
    as_list,
    as_number,
    as_object,
    as_text,
    parse_json,
)
from .hello import HELLO, Hello
from .limit_messages import (
    LEASE,
    LIMIT,
    PERMIT_REPLY,
    PERMIT_REQUEST,
    RECEIPT,
    Lease,
    LeaseReceipt,
    LimitNamed,
    PermitReply,
    PermitRequest,
)
from .messages import (
    BLOCKED,
    CRASHED,
    FAILED,
    HEARTBEAT,
    LEAVING,
    LOAD,
    SENT,
    STOPPING,
    SURVIVED,
    UNBLOCKED,
    WITHDRAWN,
    CallFailed,
    CallSent,
    CrashWithdrawn,
    Heartbeat,
    LoadReport,
    Message,
    PeerStopping,
    RequestBlocked,
    RequestCrashed,
    RequestSurvived,
    RequestUnblocked,
    UpstreamLeaving,
)

MAX_DATAGRAM_BYTES = 1200
"""Maximum size of a datagram in bytes, below the usual MTU."""

MAX_LINK_MBPS = 1e9
"""Maximum bandwidth in Mbit/s that is accepted from a peer."""

MAX_REQUESTS = 1_000_000
MAX_SLOWDOWN = 1e6
"""Maximum number of requests, and maximum slowdown, that are accepted in a load report."""

MAX_CRASH_AGE = 86_400.0
"""Maximum number of seconds since a crash that is accepted from a peer."""

MAX_TRIALS = 1000
"""Maximum number of trials of a blocked request that is accepted from a peer."""

MAX_LIMIT_RATE = 1e12
"""Maximum limit on requests per second that is accepted from a peer."""

MAX_SECONDS = 1e12
"""Maximum age, wait or clock time in seconds that is accepted from a peer."""

MAX_PRIORITY = 1_000_000

MAX_VERSION = 2**53
"""Maximum version that a JSON number represents exactly."""

ENCODER = json.JSONEncoder(separators=(",", ":"))


def encode_message(message: Message) -> bytes:
    """Return a message as a datagram."""
    return ENCODER.encode(message.fields()).encode()


def decode_message(data: bytes) -> Message | None:
    """Return the message of a datagram, None if it is invalid or of an unknown type."""
    try:
        fields = as_list(parse_json(data), "the datagram")
        decoder = DECODERS.get(fields[0]) if fields and isinstance(fields[0], str) else None
        return None if decoder is None else decoder(fields[1:])
    except (BadEntry, IndexError):
        return None


def _text(fields: list, index: int) -> str:
    return as_text(fields[index], "a name")


def _link(value: object) -> float:
    return as_number(value, "the link", 0.0, MAX_LINK_MBPS)


def _decode_hello(fields: list) -> Hello:
    address = as_address(fields[1], "the address")
    return Hello(_text(fields, 0), address, _text(fields, 2), _link(fields[3]))


def _decode_call_sent(fields: list) -> CallSent:
    return CallSent(_text(fields, 0))


def _decode_load_report(fields: list) -> LoadReport:
    running, waiting, slots = (
        as_integer(fields[index], "the load", 0, MAX_REQUESTS) for index in (1, 2, 3)
    )
    slowdown = as_number(fields[4], "the slowdown", 0.0, MAX_SLOWDOWN)
    return LoadReport(_text(fields, 0), UpstreamLoad(running, waiting, slots, slowdown))


def _decode_call_failed(fields: list) -> CallFailed:
    return CallFailed(_text(fields, 0))


def _decode_request_crashed(fields: list) -> RequestCrashed:
    # A daemon of an earlier version sends no ages.
    age = as_number(fields[2], "the age", 0.0, MAX_CRASH_AGE) if len(fields) > 2 else 0.0
    answered_age = fields[3] if len(fields) > 3 else None
    if answered_age is not None:
        answered_age = as_number(answered_age, "the age", 0.0, MAX_CRASH_AGE)
    return RequestCrashed(_text(fields, 0), _text(fields, 1), age, answered_age)


def _decode_request_survived(fields: list) -> RequestSurvived:
    age = as_number(fields[1], "the age", 0.0, MAX_CRASH_AGE) if len(fields) > 1 else 0.0
    return RequestSurvived(_text(fields, 0), age)


def _decode_request_blocked(fields: list) -> RequestBlocked:
    age = as_number(fields[1], "the age", 0.0, MAX_CRASH_AGE)
    trials = as_integer(fields[2], "trials", 0, MAX_TRIALS)
    # A daemon of an earlier version sends neither an address nor the age of a trial.
    reply_to = as_address(fields[3], "the address") if len(fields) > 3 and fields[3] else ""
    trial_age = as_number(fields[4], "the age", 0.0, MAX_CRASH_AGE) if len(fields) > 4 else 0.0
    return RequestBlocked(_text(fields, 0), age, trials, reply_to, trial_age)


def _decode_crash_withdrawn(fields: list) -> CrashWithdrawn:
    return CrashWithdrawn(_text(fields, 0), as_number(fields[1], "the age", 0.0, MAX_CRASH_AGE))


def _decode_request_unblocked(fields: list) -> RequestUnblocked:
    return RequestUnblocked(_text(fields, 0), as_number(fields[1], "the age", 0.0, MAX_CRASH_AGE))


def _decode_heartbeat(fields: list) -> Heartbeat:
    versions = _versions(fields[3])
    # A daemon of an earlier version sends neither versions of changes nor ages.
    changed = _versions(fields[5]) if len(fields) > 5 else None
    ages = as_object(fields[6], "the ages") if len(fields) > 6 else {}
    ages = {name: _seconds(age) for name, age in ages.items()}
    address = as_address(fields[2], "the address")
    vm, data_centre = _text(fields, 0), _text(fields, 1)
    return Heartbeat(vm, data_centre, address, versions, _link(fields[4]), changed, ages)


def _versions(value: object) -> dict[str, int]:
    table = as_object(value, "the versions")
    return {name: as_integer(table[name], "a version", 0, MAX_VERSION) for name in table}


def _seconds(value: object) -> float:
    return as_number(value, "a time", 0.0, MAX_SECONDS)


def _rate(value: object) -> float:
    return as_number(value, "the limit", 0.0, MAX_LIMIT_RATE)


def _decode_limit_named(fields: list) -> LimitNamed:
    rate = None if fields[1] is None else _rate(fields[1])
    return LimitNamed(_text(fields, 0), rate, _seconds(fields[2]))


def _decode_lease(fields: list) -> Lease:
    return Lease(_decode_hello(fields), None if fields[4] is None else _seconds(fields[4]))


def _decode_lease_receipt(fields: list) -> LeaseReceipt:
    limits = as_integer(fields[2], "the number of limits", 0, MAX_REQUESTS)
    return LeaseReceipt(_text(fields, 0), _seconds(fields[1]), limits)


def _decode_upstream_leaving(fields: list) -> UpstreamLeaving:
    return UpstreamLeaving(_text(fields, 0))


def _decode_permit_request(fields: list) -> PermitRequest:
    number = as_integer(fields[1], "the number", 0, MAX_VERSION)
    priority = as_integer(fields[5], "the priority", 0, MAX_PRIORITY)
    name = as_text(fields[2], "a name")
    return PermitRequest(
        _text(fields, 0), number, name, _rate(fields[3]), _seconds(fields[4]), priority
    )


def _decode_peer_stopping(fields: list) -> PeerStopping:
    return PeerStopping(_text(fields, 0))


def _decode_permit_reply(fields: list) -> PermitReply:
    number = as_integer(fields[0], "the number", 0, MAX_VERSION)
    granted = as_integer(fields[1], "the decision", 0, 1)
    return PermitReply(number, bool(granted), _seconds(fields[2]))


DECODERS: dict[str, Callable[[list], Message]] = {
    HELLO: _decode_hello,
    SENT: _decode_call_sent,
    LOAD: _decode_load_report,
    FAILED: _decode_call_failed,
    CRASHED: _decode_request_crashed,
    SURVIVED: _decode_request_survived,
    BLOCKED: _decode_request_blocked,
    WITHDRAWN: _decode_crash_withdrawn,
    UNBLOCKED: _decode_request_unblocked,
    HEARTBEAT: _decode_heartbeat,
    LIMIT: _decode_limit_named,
    LEASE: _decode_lease,
    RECEIPT: _decode_lease_receipt,
    LEAVING: _decode_upstream_leaving,
    STOPPING: _decode_peer_stopping,
    PERMIT_REQUEST: _decode_permit_request,
    PERMIT_REPLY: _decode_permit_reply,
}
"""Decodes a datagram's elements after the first, by message type."""
