"""What daemons tell each other: small datagrams, each of which may be lost without harm."""

from __future__ import annotations

import json

from .signals import UpstreamLoad

HELLO, SENT, LOAD, FAILED = "hello", "sent", "load", "failed"
CRASHED, SURVIVED, BEACON = "crashed", "survived", "beacon"
"""First element of a datagram, a JSON list."""

LARGEST = 1200
"""Bytes of a datagram at most, so that it travels in one packet."""

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


class Beacon:
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
        return [BEACON, self.vm, self.data_centre, self.address, self.versions, self.link]


Message = Hello | Sent | Reported | Failed | Crashed | Survived | Beacon


def encoded(message: Message) -> bytes:
    """Return a message as a datagram."""
    return ENCODER.encode(message.fields()).encode()


def decoded(data: bytes) -> Message | None:
    """Return the message of a datagram, None if it is none that this release knows."""
    try:
        kind, *rest = json.loads(data)
        if kind == SENT:
            return Sent(str(rest[0]))
        if kind == LOAD:
            load = UpstreamLoad(int(rest[1]), int(rest[2]), int(rest[3]), float(rest[4]))
            return Reported(str(rest[0]), load)
        if kind == FAILED:
            return Failed(str(rest[0]))
        if kind == CRASHED:
            return Crashed(str(rest[0]), str(rest[1]))
        if kind == SURVIVED:
            return Survived(str(rest[0]))
        if kind == BEACON:
            versions = {str(name): int(version) for name, version in rest[3].items()}
            return Beacon(str(rest[0]), str(rest[1]), str(rest[2]), versions, float(rest[4]))
        if kind == HELLO:
            return Hello(str(rest[0]), str(rest[1]), str(rest[2]), float(rest[3]))
    except (ValueError, TypeError, IndexError, AttributeError):
        return None
    return None
