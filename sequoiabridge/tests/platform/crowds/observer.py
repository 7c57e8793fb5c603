"""Reads from the system how much memory and how many descriptors a process uses."""

from __future__ import annotations

import os
from pathlib import Path

import curio

SAMPLE_INTERVAL = 0.05
"""Seconds between two looks at the descriptors and the sockets."""

CONNECTIONS_TABLE = Path("/proc/net/tcp")
LOCAL_ADDRESS, STATE, QUEUES = 1, 3, 4
"""Columns of this table."""

ESTABLISHED = "01"


class ProcessObserver:
    """Watches one process; the system itself keeps the peak of its memory.

    Attributes:
        peak_descriptors: Highest number of open descriptors seen.
        highest_memory: Highest memory seen by `look`, in bytes.
        is_reported: Whether a violation of the process has been reported.
    """

    def __init__(self, pid: int):
        self.pid = pid
        self.peak_descriptors = 0
        self.highest_memory = 0
        self.is_reported = False

    def look(self) -> None:
        """Update the peaks, unless the process has just ended."""
        try:
            self.count_descriptors()
            self.highest_memory = max(self.highest_memory, self.peak_memory())
        except (OSError, IndexError):
            return

    def count_descriptors(self) -> None:
        """Update the peak of the open descriptors."""
        count = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.peak_descriptors = max(self.peak_descriptors, count)

    def peak_memory(self) -> int:
        """Return the highest resident memory of the process so far, in bytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) * 1024

    async def watch_descriptors(self) -> None:
        """Count the open descriptors until cancelled."""
        while True:
            self.count_descriptors()
            await curio.sleep(SAMPLE_INTERVAL)

    async def wait_until_read(self, address: str, seconds: float) -> None:
        """Wait, at most for some seconds, until the process has read what came in at a port."""
        async with curio.ignore_after(seconds):
            while unread_bytes(address):
                await curio.sleep(SAMPLE_INTERVAL)


def unread_bytes(address: str) -> int:
    """Return how many bytes wait in the receive buffers of the connections at a port."""
    suffix = f":{int(address.rpartition(':')[2]):04X}"
    total = 0
    for line in CONNECTIONS_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        if columns[LOCAL_ADDRESS].endswith(suffix) and columns[STATE] == ESTABLISHED:
            total += int(columns[QUEUES].partition(":")[2], 16)
    return total
