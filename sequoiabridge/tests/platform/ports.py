"""Ports of daemons under test, reserved so that test runs beside each other share none."""

import fcntl
import os
import socket
import tempfile
from pathlib import Path
from random import SystemRandom

FIRST_PORT, LAST_PORT = 12_000, 32_000
"""Range of the ports of daemons, below those that the system gives to outgoing connections."""

BLOCK_SIZE = 100
"""Ports that a process reserves at a time; each is given out once."""

LOCK_FOLDER = Path(tempfile.gettempdir()) / "sequoiabridge-ports"

RANDOM = SystemRandom()


class PortBlocks:
    """The ports that this process has reserved.

    Attributes:
        locks: Descriptors of the locked files of its blocks; the locks end with the process.
        unused: Ports that have not been given out.
    """

    def __init__(self):
        self.locks: list[int] = []
        self.unused: list[int] = []

    def free_port(self) -> int:
        """Return a port that is free and that no other run will take."""
        while True:
            if not self.unused:
                self._reserve_block()
            port = self.unused.pop()
            if is_free(port):
                return port

    def reserve(self, first: int) -> bool:
        """Reserve the block that begins at a port; return False if any run has reserved it."""
        LOCK_FOLDER.mkdir(exist_ok=True)
        lock = os.open(LOCK_FOLDER / str(first), os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self.locks.append(lock)
        self.unused += range(first, first + BLOCK_SIZE)
        return True

    def _reserve_block(self) -> None:
        blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
        RANDOM.shuffle(blocks)
        if not any(self.reserve(first) for first in blocks):
            message = f"All ports from {FIRST_PORT} to {LAST_PORT} are reserved; end other runs."
            raise OSError(message)


def is_free(port: int) -> bool:
    """Return whether no socket is bound to a port."""
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


BLOCKS = PortBlocks()


def free_port() -> int:
    """Return a port for a daemon of this process."""
    return BLOCKS.free_port()
