"""What daemons tell each other: small datagrams, each of which may be lost without harm."""

from __future__ import annotations

import json
from collections.abc import Callable

from ..balancing.load import UpstreamLoad
from ..exceptions import BadEntry
from ..foreign import as_address, as_list, as_number, as_table, as_text, as_whole, parsed

HELLO, SENT, LOAD, FAILED = "hello", "sent", "load", "failed"
CRASHED, SURVIVED, HEARTBEAT = "crashed", "survived", "beacon"
"""First element of a datagram, a JSON list."""

MAX_DATAGRAM_BYTES = 1200
"""Bytes of a datagram at most, so that it travels in one packet."""

MAX_LINK_MBPS = 1e9
"""Mbit/s that a daemon may claim for its link."""

MAX_REQUESTS = 1_000_000
MAX_SLOWDOWN = 1e6
"""Requests and slowdown that an upstream may be said to have; the users' have some dozens, and
20."""

MAX_VERSION = 2**53
"""Largest version that JSON's numbers carry exactly."""

ENCODER = json.JSONEncoder(separators=(",", ":"))


class Hello:
    """A daemon is there: its name, the address of its port for datagrams, its data centre.

    Attributes:
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
    """A daemon has sent a call to an upstream just now."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SENT, self.upstream]


class LoadReport:
    """An upstream has versions_table its load just now."""

    __slots__ = ("upstream", "load")

    def __init__(self, upstream: str, load: UpstreamLoad):
        self.upstream = upstream
        self.load = load

    def fields(self) -> list:
        """Return the datagram's elements."""
        load = self.load
        return [LOAD, self.upstream, load.running, load.waiting, load.slots, load.slowdown]


class CallFailed:
    """An upstream has failed a call just now."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [FAILED, self.upstream]


class RequestCrashed:
    """An upstream died while it had a request with this fingerprint."""

    __slots__ = ("fingerprint", "upstream")

    def __init__(self, fingerprint: str, upstream: str):
        self.fingerprint = fingerprint
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [CRASHED, self.fingerprint, self.upstream]


class RequestSurvived:
    """A request with this fingerprint, suspected of crashing upstreams, was answered."""

    __slots__ = ("fingerprint",)

    def __init__(self, fingerprint: str):
        self.fingerprint = fingerprint

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SURVIVED, self.fingerprint]


class Heartbeat:
    """A daemon follows the store: what it knows, by feed, and where that can be read.

    Attributes:
        versions: Empty while the store does not answer that daemon.
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
    """Return the message of a datagram, None if it is none that this release knows."""
    try:
        fields = as_list(parsed(data), "the datagram")
        decoder = DECODERS.get(fields[0]) if fields and isinstance(fields[0], str) else None
        return None if decoder is None else decoder(fields[1:])
    except (BadEntry, IndexError):
        return None


def _text(fields: list, place: int) -> str:
    return as_text(fields[place], "a name")


def _link(value: object) -> float:
    return as_number(value, "the link", 0.0, MAX_LINK_MBPS)


def _decode_hello(fields: list) -> Hello:
    address = as_address(fields[1], "the address")
    return Hello(_text(fields, 0), address, _text(fields, 2), _link(fields[3]))


def _decode_call_sent(fields: list) -> CallSent:
    return CallSent(_text(fields, 0))


def _decode_load_report(fields: list) -> LoadReport:
    running, waiting, slots = (
        as_whole(fields[place], "the load", 0, MAX_REQUESTS) for place in (1, 2, 3)
    )
    slowdown = as_number(fields[4], "the slowdown", 0.0, MAX_SLOWDOWN)
    return LoadReport(_text(fields, 0), UpstreamLoad(running, waiting, slots, slowdown))


def _decode_call_failed(fields: list) -> CallFailed:
    return CallFailed(_text(fields, 0))


def _decode_request_crashed(fields: list) -> RequestCrashed:
    return RequestCrashed(_text(fields, 0), _text(fields, 1))


def _decode_request_survived(fields: list) -> RequestSurvived:
    return RequestSurvived(_text(fields, 0))


def _decode_heartbeat(fields: list) -> Heartbeat:
    versions_table = as_table(fields[3], "the versions")
    versions = {
        name: as_whole(versions_table[name], "a version", 0, MAX_VERSION) for name in versions_table
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
"""Reads a datagram's elements after the first, by the first."""
