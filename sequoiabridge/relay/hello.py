"""The message by which a daemon announces itself to its peers."""

from __future__ import annotations

HELLO = "hello"
"""Message type: the first element of the datagram."""


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
