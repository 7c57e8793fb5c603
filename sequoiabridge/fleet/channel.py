"""Transport of frames between daemons: pynng sockets on curio.

Each daemon listens on one pull socket and dials one push socket per receiving VM, so that a slow
peer does not delay the others and one connection can be replaced alone. The least recently used
of more than `MAX_CONNECTIONS` connections is closed. pynng does not support curio, so curio waits
on the file descriptor of the pull socket.
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
"""Maximum number of open outgoing connections; all peers in a fleet of 18."""
SEND_BUFFER_FRAMES = 32
"""Maximum number of frames queued per connection; further frames are dropped."""
RECONNECT_MIN_MS, RECONNECT_MAX_MS = 100, 2_000
"""Bounds of nng's reconnect backoff, in milliseconds."""
RECEIVE_BATCH_FRAMES = 64
"""Maximum number of frames received before yielding to other tasks."""
FLUSH_SECONDS = 0.2
"""Seconds for nng to flush queued frames before the sockets are closed."""

FrameHandler = Callable[[bytes], None]


class Channel(ABC):
    """Sends frames to addresses (IP:port) and receives frames."""

    @abstractmethod
    def listen(self) -> None:
        """Bind the address; raise `ConfigurationError` if that fails."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> bool:
        """Send a frame without blocking; return False if it was dropped."""

    @abstractmethod
    def redial(self, address: str) -> None:
        """Close the connection to an address, so that the next frame opens a new one."""

    @abstractmethod
    async def run(self, receive: FrameHandler) -> None:
        """Call `receive` with each received frame until cancelled."""

    @abstractmethod
    async def close(self) -> None:
        """Flush sent frames for a limited time, then close all sockets."""

    def connections(self) -> int:
        """Return the number of open outgoing connections."""
        return 0


class NngChannel(Channel):
    """Channel over TCP, using pynng.

    Args:
        address: IP:port to listen on, which the other VMs dial.
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
            log.warning("cannot send to peer %s (%s); reconnecting", address, error)
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
        """Receive up to one batch of frames; return True if more may be available."""
        for _ in range(RECEIVE_BATCH_FRAMES):
            try:
                frame = self.pull_socket.recv(block=False)
            except pynng.TryAgain:
                return False
            self._handle(receive, frame)
        return True

    def _handle(self, receive: FrameHandler, frame: bytes) -> None:
        try:
            receive(frame)
        except Exception:
            # One frame must not end the task that reads all.
            log.exception("Cannot process a frame of %d bytes; it is dropped.", len(frame))

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
            log.warning("cannot connect to peer %s (%s)", address, error)
            push.close()
            return None
        self.push_sockets[address] = push
        return push
