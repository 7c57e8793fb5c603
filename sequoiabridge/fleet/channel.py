"""Frames between daemons over pynng, on curio.

Each daemon listens with one pull socket and dials a push socket for each VM that it sends to. A
push socket has one peer, so a slow or silent one holds up nobody else, and a new connection to one
VM is a matter of closing one socket. At most `MAX_DIALED` are kept, the least used goes first.
pynng knows asyncio and trio; here the pull socket's descriptor is waited on by curio.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

import curio
import pynng
from curio.traps import _read_wait

from ..exceptions import ConfigurationError
from ..logs import get_log
from .wire import MAX_FRAME

log = get_log("fleet")

MAX_DIALED = 64
"""Connections kept for sending; at 18 VMs that is all of them."""
SEND_BUFFER = 32
"""Frames that wait for a connection; more are dropped."""
RECONNECT_MIN, RECONNECT_MAX = 100, 2_000
"""Milliseconds between nng's attempts to connect."""
BATCH = 64
"""Frames taken before other tasks get a turn."""
FLUSH = 0.2
"""Seconds given to nng to write what was sent last before the sockets are closed."""

Receive = Callable[[bytes], None]


class Channel(ABC):
    """Sends frames to addresses (IP:port) and hands over those that come in."""

    @abstractmethod
    def listen(self) -> None:
        """Bind the address; raises `ConfigurationError` if that fails."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> bool:
        """Send a frame without waiting; return False if it had to be dropped."""

    @abstractmethod
    def redial(self, address: str) -> None:
        """Close the connection to an address, so that the next frame opens a new one."""

    @abstractmethod
    async def run(self, receive: Receive) -> None:
        """Listen and call `receive` with each frame until cancelled."""

    @abstractmethod
    async def close(self) -> None:
        """Close everything after what was sent has had time to leave."""

    def connections(self) -> int:
        """Return how many connections are open for sending."""
        return 0


class NngChannel(Channel):
    """The channel over TCP by pynng.

    Args:
        address: IP and port to listen on, as the other VMs dial it.
    """

    def __init__(self, address: str):
        self.address = address
        self.pull: pynng.Pull0 | None = None
        self.dialed: OrderedDict[str, pynng.Push0] = OrderedDict()
        self.redials = 0

    def listen(self) -> None:
        self.pull = pynng.Pull0(recv_buffer_size=256, recv_max_size=MAX_FRAME)
        try:
            self.pull.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            raise ConfigurationError(
                f"[fleet] address: cannot listen on {self.address} ({error}); set an IP address "
                "of this VM and a free port"
            ) from error

    def send(self, address: str, frame: bytes) -> bool:
        push = self._push(address)
        if push is None:
            return False
        try:
            push.send(frame, block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException as error:
            log.warning("Sending to %s failed (%s); dialing again.", address, error)
            self.redial(address)
            return False
        return True

    def redial(self, address: str) -> None:
        push = self.dialed.pop(address, None)
        if push is not None:
            self.redials += 1
            push.close()

    async def run(self, receive: Receive) -> None:
        descriptor = self.pull.recv_fd
        while True:
            if not self._drain(receive):
                await _read_wait(descriptor)
            else:
                await curio.sleep(0)

    async def close(self) -> None:
        await curio.sleep(FLUSH)
        for push in self.dialed.values():
            push.close()
        self.dialed.clear()
        if self.pull is not None:
            self.pull.close()
            self.pull = None

    def connections(self) -> int:
        return len(self.dialed)

    def _drain(self, receive: Receive) -> bool:
        """Take up to a batch of frames; return True if there may be more."""
        for _ in range(BATCH):
            try:
                frame = self.pull.recv(block=False)
            except pynng.TryAgain:
                return False
            receive(frame)
        return True

    def _push(self, address: str) -> pynng.Push0 | None:
        push = self.dialed.get(address)
        if push is not None:
            self.dialed.move_to_end(address)
            return push
        while len(self.dialed) >= MAX_DIALED:
            self.dialed.popitem(last=False)[1].close()
        push = pynng.Push0(
            send_buffer_size=SEND_BUFFER,
            reconnect_time_min=RECONNECT_MIN,
            reconnect_time_max=RECONNECT_MAX,
        )
        try:
            push.dial(f"tcp://{address}", block=False)
        except pynng.NNGException as error:
            log.warning("Cannot dial %s (%s).", address, error)
            push.close()
            return None
        self.dialed[address] = push
        return push
