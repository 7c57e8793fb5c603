"""Processes that keep the machine's processors busy beside daemons and upstreams."""

import subprocess
import sys

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
