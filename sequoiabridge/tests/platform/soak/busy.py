"""Takes processor time from daemons: busy processes beside them, or pauses of their processes."""

import signal
import subprocess
import sys

import curio

BUSY_PROGRAM = "import sys, time\nend = time.monotonic() + float(sys.argv[1])\n"
BUSY_PROGRAM += "while time.monotonic() < end:\n    sum(range(10000))\n"


class BusyProcesses:
    """A number of busy processes; each ends by itself after some seconds.

    Args:
        count: Number of processes.
        seconds: Seconds after which they end if `stop` is not called.
    """

    def __init__(self, count: int, seconds: float):
        command = [sys.executable, "-S", "-c", BUSY_PROGRAM, str(seconds)]
        self.processes = [subprocess.Popen(command) for _ in range(count)]

    def stop(self) -> None:
        """End the processes."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()


THROTTLE_PERIOD = 0.1
"""Seconds in which a throttled process runs once."""


async def throttle(process: subprocess.Popen, share: float) -> None:
    """Let a process run for a share of the time only, until it ends or this is cancelled."""
    try:
        while process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await curio.sleep((1.0 - share) * THROTTLE_PERIOD)
            process.send_signal(signal.SIGCONT)
            await curio.sleep(share * THROTTLE_PERIOD)
    finally:
        process.send_signal(signal.SIGCONT)
