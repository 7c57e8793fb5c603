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

LARGEST = 1200
"""Bytes of a datagram at most, so that it travels in one packet."""

MOST_LINK = 1e9
"""Mbit/s that a daemon may claim for its link."""

MOST_REQUESTS = 1_000_000
MOST_SLOWDOWN = 1e6
"""Requests and slowdown that an upstream may be said to have; the users' have some dozens, and
20."""

MOST_VERSION = 2**53
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


class Sent:
    """A daemon has sent a call to an upstream just now."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SENT, self.upstream]


class Reported:
    """An upstream has told its load just now."""

    __slots__ = ("upstream", "load")

    def __init__(self, upstream: str, load: UpstreamLoad):
        self.upstream = upstream
        self.load = load

    def fields(self) -> list:
        """Return the datagram's elements."""
        load = self.load
        return [LOAD, self.upstream, load.running, load.waiting, load.slots, load.slowdown]


class Failed:
    """An upstream has failed a call just now."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [FAILED, self.upstream]


class Crashed:
    """An upstream died while it had a request with this fingerprint."""

    __slots__ = ("fingerprint", "upstream")

    def __init__(self, fingerprint: str, upstream: str):
        self.fingerprint = fingerprint
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [CRASHED, self.fingerprint, self.upstream]


class Survived:
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


Message = Hello | Sent | Reported | Failed | Crashed | Survived | Heartbeat


def encoded(message: Message) -> bytes:
    """Return a message as a datagram."""
    return ENCODER.encode(message.fields()).encode()


def decoded(data: bytes) -> Message | None:
    """Return the message of a datagram, None if it is none that this release knows."""
    try:
        fields = as_list(parsed(data), "the datagram")
        reader = READERS.get(fields[0]) if fields and isinstance(fields[0], str) else None
        return None if reader is None else reader(fields[1:])
    except (BadEntry, IndexError):
        return None


def _name(fields: list, place: int) -> str:
    return as_text(fields[place], "a name")


def _link(value: object) -> float:
    return as_number(value, "the link", 0.0, MOST_LINK)


def _hello(fields: list) -> Hello:
    address = as_address(fields[1], "the address")
    return Hello(_name(fields, 0), address, _name(fields, 2), _link(fields[3]))


def _sent(fields: list) -> Sent:
    return Sent(_name(fields, 0))


def _reported(fields: list) -> Reported:
    running, waiting, slots = (
        as_whole(fields[place], "the load", 0, MOST_REQUESTS) for place in (1, 2, 3)
    )
    slowdown = as_number(fields[4], "the slowdown", 0.0, MOST_SLOWDOWN)
    return Reported(_name(fields, 0), UpstreamLoad(running, waiting, slots, slowdown))


def _failed(fields: list) -> Failed:
    return Failed(_name(fields, 0))


def _crashed(fields: list) -> Crashed:
    return Crashed(_name(fields, 0), _name(fields, 1))


def _survived(fields: list) -> Survived:
    return Survived(_name(fields, 0))


def _decode_heartbeat(fields: list) -> Heartbeat:
    told = as_table(fields[3], "the versions")
    versions = {name: as_whole(told[name], "a version", 0, MOST_VERSION) for name in told}
    address = as_address(fields[2], "the address")
    return Heartbeat(_name(fields, 0), _name(fields, 1), address, versions, _link(fields[4]))


READERS: dict[str, Callable[[list], Message]] = {
    HELLO: _hello,
    SENT: _sent,
    LOAD: _reported,
    FAILED: _failed,
    CRASHED: _crashed,
    SURVIVED: _survived,
    HEARTBEAT: _decode_heartbeat,
}
"""Reads a datagram's elements after the first, by the first."""
