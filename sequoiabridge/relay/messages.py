"""Messages between daemons, each a small datagram that may be lost."""

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

HELLO, SENT, LOAD, FAILED = "hello", "sent", "load", "failed"
CRASHED, SURVIVED, HEARTBEAT = "crashed", "survived", "beacon"
LIMIT, LEASE, RECEIPT = "limit", "lease", "receipt"
LEAVING = "leaving"
PERMIT_REQUEST, PERMIT_REPLY = "permit?", "permit"
"""Message types: the first element of a datagram, which is a JSON list."""

MAX_DATAGRAM_BYTES = 1200
"""Maximum size of a datagram in bytes, below the usual MTU."""

MAX_LINK_MBPS = 1e9
"""Maximum bandwidth in Mbit/s that is accepted from a peer."""

MAX_REQUESTS = 1_000_000
MAX_SLOWDOWN = 1e6
"""Maximum number of requests, and maximum slowdown, that are accepted in a load report."""

MAX_CRASH_AGE = 86_400.0
"""Maximum number of seconds since a crash that is accepted from a peer."""

MAX_LIMIT_RATE = 1e12
"""Maximum limit on requests per second that is accepted from a peer."""

MAX_SECONDS = 1e12
"""Maximum age, wait or clock time in seconds that is accepted from a peer."""

MAX_PRIORITY = 1_000_000

MAX_VERSION = 2**53
"""Maximum version that a JSON number represents exactly."""

ENCODER = json.JSONEncoder(separators=(",", ":"))


class Hello:
    """Announces a daemon to its peers, which answer with a heartbeat if they are watchers.

    Attributes:
        vm: Name of its VM.
        address: "IP:port" at which it receives datagrams.
        data_centre: Data centre of its VM.
        link: Bandwidth of its VM's link in Mbit/s.
    """

    __slots__ = ("vm", "address", "data_centre", "link")

    def __init__(self, vm: str, address: str, data_centre: str, link: float):
        self.vm = vm
        self.address = address
        self.data_centre = data_centre
        self.link = link

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [HELLO, self.vm, self.address, self.data_centre, self.link]


class CallSent:
    """A daemon has just sent a call to an upstream.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SENT, self.upstream]


class LoadReport:
    """An upstream has just reported its load.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream", "load")

    def __init__(self, upstream: str, load: UpstreamLoad):
        self.upstream = upstream
        self.load = load

    def fields(self) -> list:
        """Return the datagram's elements."""
        load = self.load
        return [LOAD, self.upstream, load.running, load.waiting, load.slots, load.slowdown]


class CallFailed:
    """A call to an upstream has just failed.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [FAILED, self.upstream]


class RequestCrashed:
    """An upstream died while it ran a request.

    Attributes:
        fingerprint: Hash of the request.
        upstream: Name of the upstream's lifetime.
        age: Seconds since the upstream died.
    """

    __slots__ = ("fingerprint", "upstream", "age")

    def __init__(self, fingerprint: str, upstream: str, age: float = 0.0):
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.age = age

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [CRASHED, self.fingerprint, self.upstream, round(self.age, 1)]


class RequestSurvived:
    """A request that was suspected of crashing upstreams was answered.

    Attributes:
        fingerprint: Hash of the request.
    """

    __slots__ = ("fingerprint",)

    def __init__(self, fingerprint: str):
        self.fingerprint = fingerprint

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SURVIVED, self.fingerprint]


class Heartbeat:
    """Announces the feeds of a watcher, a daemon that polls the store.

    Attributes:
        vm: Name of its VM.
        data_centre: Data centre of its VM.
        address: "IP:port" at which its feeds can be read.
        versions: Version of each feed, by the feed's name; empty while it cannot reach the store.
        link: Bandwidth of its VM's link in Mbit/s.
    """

    __slots__ = ("vm", "data_centre", "address", "versions", "link")

    def __init__(
        self, vm: str, data_centre: str, address: str, versions: dict[str, int], link: float
    ):
        self.vm = vm
        self.data_centre = data_centre
        self.address = address
        self.versions = versions
        self.link = link

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [HEARTBEAT, self.vm, self.data_centre, self.address, self.versions, self.link]


class LimitNamed:
    """An upstream has named another limit than before, or none any more.

    Attributes:
        upstream: Name of the upstream's lifetime.
        rate: Requests per second from all VMs together, None for no limit.
        age: Seconds since this was last observed.
    """

    __slots__ = ("upstream", "rate", "age")

    def __init__(self, upstream: str, rate: float | None, age: float):
        self.upstream = upstream
        self.rate = rate
        self.age = age

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [LIMIT, self.upstream, self.rate, round(self.age, 3)]


class Lease:
    """A daemon leases its share of the limits to the receiver, or only asks for a receipt.

    Attributes:
        hello: The daemon.
        receipt_at: Time in the latest receipt of the receiver; None if nothing is leased.
    """

    __slots__ = ("hello", "receipt_at")

    def __init__(self, hello: Hello, receipt_at: float | None):
        self.hello = hello
        self.receipt_at = receipt_at

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [LEASE, *self.hello.fields()[1:], self.receipt_at]


class LeaseReceipt:
    """The answer to a `Lease`.

    Attributes:
        vm: Name of the VM that sends it.
        at: Time of sending on that VM's clock, in seconds.
        limits: Number of limits that it knows.
    """

    __slots__ = ("vm", "at", "limits")

    def __init__(self, vm: str, at: float, limits: int):
        self.vm = vm
        self.at = at
        self.limits = limits

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [RECEIPT, self.vm, self.at, self.limits]


class PermitRequest:
    """A daemon asks the coordinator for a permit to send one call.

    Attributes:
        vm: Name of its VM.
        number: Number of the request.
        upstream: Name of the upstream's lifetime.
        rate: Limit in requests per second that the daemon knows.
        age: Seconds since it was last observed.
        priority: Priority of the call; 0 is the most urgent.
    """

    __slots__ = ("vm", "number", "upstream", "rate", "age", "priority")

    def __init__(self, vm: str, number: int, upstream: str, rate: float, age: float, priority: int):
        self.vm = vm
        self.number = number
        self.upstream = upstream
        self.rate = rate
        self.age = age
        self.priority = priority

    def fields(self) -> list:
        """Return the datagram's elements."""
        age = round(self.age, 3)
        return [PERMIT_REQUEST, self.vm, self.number, self.upstream, self.rate, age, self.priority]


class PermitReply:
    """The coordinator's answer to a `PermitRequest`.

    Attributes:
        number: Number of the request.
        granted: Whether the call may be sent.
        wait: Seconds after which to ask again, if not.
    """

    __slots__ = ("number", "granted", "wait")

    def __init__(self, number: int, granted: bool, wait: float):
        self.number = number
        self.granted = granted
        self.wait = wait

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [PERMIT_REPLY, self.number, int(self.granted), round(self.wait, 3)]


class UpstreamLeaving:
    """An upstream has said that it leaves.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [LEAVING, self.upstream]


LimitMessage = LimitNamed | Lease | LeaseReceipt | PermitRequest | PermitReply
"""Messages about the limits of upstreams."""

Message = (
    Hello
    | CallSent
    | LoadReport
    | CallFailed
    | RequestCrashed
    | RequestSurvived
    | Heartbeat
    | UpstreamLeaving
    | LimitMessage
)


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
    # A daemon of an earlier version sends no age.
    age = as_number(fields[2], "the age", 0.0, MAX_CRASH_AGE) if len(fields) > 2 else 0.0
    return RequestCrashed(_text(fields, 0), _text(fields, 1), age)


def _decode_request_survived(fields: list) -> RequestSurvived:
    return RequestSurvived(_text(fields, 0))


def _decode_heartbeat(fields: list) -> Heartbeat:
    versions_table = as_object(fields[3], "the versions")
    versions = {
        name: as_integer(versions_table[name], "a version", 0, MAX_VERSION)
        for name in versions_table
    }
    address = as_address(fields[2], "the address")
    return Heartbeat(_text(fields, 0), _text(fields, 1), address, versions, _link(fields[4]))


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
    HEARTBEAT: _decode_heartbeat,
    LIMIT: _decode_limit_named,
    LEASE: _decode_lease,
    RECEIPT: _decode_lease_receipt,
    LEAVING: _decode_upstream_leaving,
    PERMIT_REQUEST: _decode_permit_request,
    PERMIT_REPLY: _decode_permit_reply,
}
"""Decodes a datagram's elements after the first, by message type."""
