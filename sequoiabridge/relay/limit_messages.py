"""Messages between daemons about the limits that upstreams name."""

from __future__ import annotations

from .hello import Hello

LIMIT, LEASE, RECEIPT = "limit", "lease", "receipt"
PERMIT_REQUEST, PERMIT_REPLY = "permit?", "permit"
"""Message types: the first element of a datagram."""


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


LimitMessage = LimitNamed | Lease | LeaseReceipt | PermitRequest | PermitReply
"""Messages about the limits of upstreams."""
