"""Frames between daemons over pynng, on curio.

Each daemon listens with one pull socket and dials a push socket for each VM that it sends to. A
push socket has one peer, so a slow or silent one holds up nobody else, and a new connection to one
VM is a matter of closing one socket. At most `MAX_CONNECTIONS` are kept, the least used goes first.
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
from .wire import MAX_FRAME_BYTES

log = get_log("fleet")

MAX_CONNECTIONS = 64
"""Connections kept for sending; at 18 VMs that is all of them."""
SEND_BUFFER_FRAMES = 32
"""Frames that wait for a connection; more are dropped."""
RECONNECT_MIN_MS, RECONNECT_MAX_MS = 100, 2_000
"""Milliseconds between nng's attempts to connect."""
RECEIVE_BATCH_FRAMES = 64
"""Frames taken before other tasks get a turn."""
FLUSH_SECONDS = 0.2
"""Seconds given to nng to write what was sent last before the sockets are closed."""

FrameHandler = Callable[[bytes], None]


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
    async def run(self, receive: FrameHandler) -> None:
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
        self.pull_socket: pynng.Pull0 | None = None
        self.push_sockets: OrderedDict[str, pynng.Push0] = OrderedDict()
        self.redials = 0

    def listen(self) -> None:
        self.pull_socket = pynng.Pull0(recv_buffer_size=256, recv_max_size=MAX_FRAME_BYTES)
        try:
            self.pull_socket.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            raise ConfigurationError(
                f"[fleet] address: cannot listen on {self.address} ({error}); set an IP address "
                "of this VM and a free port"
            ) from error

    def send(self, address: str, frame: bytes) -> bool:
        push = self._get_push_socket(address)
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
        push = self.push_sockets.pop(address, None)
        if push is not None:
            self.redials += 1
            push.close()

    async def run(self, receive: FrameHandler) -> None:
        descriptor = self.pull_socket.recv_fd
        while True:
            if not self._receive_batch(receive):
                await _read_wait(descriptor)
            else:
                await curio.sleep(0)

    async def close(self) -> None:
        await curio.sleep(FLUSH_SECONDS)
        for push in self.push_sockets.values():
            push.close()
        self.push_sockets.clear()
        if self.pull_socket is not None:
            self.pull_socket.close()
            self.pull_socket = None

    def connections(self) -> int:
        return len(self.push_sockets)

    def _receive_batch(self, receive: FrameHandler) -> bool:
        """Take up to a batch of frames; return True if there may be more."""
        for _ in range(RECEIVE_BATCH_FRAMES):
            try:
                frame = self.pull_socket.recv(block=False)
            except pynng.TryAgain:
                return False
            receive(frame)
        return True

    def _get_push_socket(self, address: str) -> pynng.Push0 | None:
        push = self.push_sockets.get(address)
        if push is not None:
            self.push_sockets.move_to_end(address)
            return push
        while len(self.push_sockets) >= MAX_CONNECTIONS:
            self.push_sockets.popitem(last=False)[1].close()
        push = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            push.dial(f"tcp://{address}", block=False)
        except pynng.NNGException as error:
            log.warning("Cannot dial %s (%s).", address, error)
            push.close()
            return None
        self.push_sockets[address] = push
        return push
