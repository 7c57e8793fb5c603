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


Message = Hello | CallSent | LoadReport | CallFailed | RequestCrashed | RequestSurvived | Heartbeat


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


DECODERS: dict[str, Callable[[list], Message]] = {
    HELLO: _decode_hello,
    SENT: _decode_call_sent,
    LOAD: _decode_load_report,
    FAILED: _decode_call_failed,
    CRASHED: _decode_request_crashed,
    SURVIVED: _decode_request_survived,
    HEARTBEAT: _decode_heartbeat,
}
"""Decodes a datagram's elements after the first, by message type."""
