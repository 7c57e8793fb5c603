"""An upstream as a process of its own, which the soak can stop, continue, kill and restart.

It prints its address, appends a line for each arrival and each run of a call to its log, and reads
changes of its faults from standard input, one JSON object a line. It ends with standard input.
"""

import json
import os
import socket
import sys
import time

import curio
import defopt
from curio.traps import _read_wait

from ....selector import LazySelector
from ..upstream_emulator import UpstreamEmulator
from .record import (
    ARRIVAL,
    CRASH,
    FLOOD,
    FLOOD_END,
    LEAVING,
    LIMIT,
    NO_LIMIT,
    REST,
    RUN,
    STALL,
    START,
    WORK_END,
)

STDIN = 0

STALL_CHECK_INTERVAL = 0.05
"""Seconds between checks whether this process stands still."""

MIN_STALL = 0.1
"""Minimum seconds of delay that count as standing still. A health check waits 0.2 s at least."""

SILENT_SECONDS = 3.0
"""Seconds for which an upstream that crashes in silence still holds its connections."""


class LoggingUpstream(UpstreamEmulator):
    """An upstream that logs each arrival and each run; times are those of the monotonic clock."""

    def __init__(self, log: str, **more):
        super().__init__(**more)
        self.log = os.open(log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.named_limit = NO_LIMIT
        self.write_fields(START, "", 0)
        self.write_fields(LIMIT, NO_LIMIT, 0)

    async def handle(self, connection, request):
        """Log the arrival of a call, then handle it."""
        if request.target != "/health":
            self.write(ARRIVAL, request)
        return await super().handle(connection, request)

    async def run(self, connection, request):
        """Log the run of a call, then run it."""
        self.write(RUN, request)
        return await super().run(connection, request)

    async def process(self, connection, request):
        """Work on a call, then log whether the work was finished."""
        is_finished = await super().process(connection, request)
        self.write_fields(WORK_END, request.header(b"x-attempt-id"), int(is_finished))
        return is_finished

    async def crash_while_running(self, connection, request):
        """Log the crash, and end the process."""
        if self.is_silent:
            return
        await super().crash_while_running(connection, request)
        self.write(CRASH, request)
        if self.is_silent:
            await curio.sleep(SILENT_SECONDS)
        os._exit(1)

    async def crash(self):
        """Do nothing; the process ends at once."""

    def common_headers(self, request):
        """Log the limit that the headers name if it has changed."""
        if self.faults.limit != self.named_limit:
            self.named_limit = self.faults.limit
            self.write_fields(LIMIT, self.named_limit, 0)
        if self.faults.leaving == "1":
            self.write_fields(LEAVING, request.header(b"x-attempt-id"), 0)
        return super().common_headers(request)

    async def flood(self, connection, kind, status, headers):
        """Log the begin and the end of an answer without end."""
        self.write_fields(FLOOD, kind, 0)
        try:
            return await super().flood(connection, kind, status, headers)
        finally:
            self.write_fields(FLOOD_END, kind, 0)

    async def reject(self, connection, request):
        """Log a rest that the answer asks for, then reject the call.

        An upstream that was stopped may answer on a connection that the daemon closed meanwhile.
        """
        if self.faults.rest and not is_closed(connection.sock):
            self.write_fields(REST, request.header(b"x-attempt-id"), self.faults.rest)
        return await super().reject(connection, request)

    def write(self, what: str, request) -> None:
        """Append a line about a call to the log."""
        self.write_fields(what, request.header(b"x-attempt-id"), len(request.body))

    def write_fields(self, what: str, text: str, value: float | str) -> None:
        """Append a line to the log."""
        line = json.dumps((time.monotonic(), what, text, value)) + "\n"
        os.write(self.log, line.encode())

    async def watch_stalls(self) -> None:
        """Log the times in which this process stood still, with their seconds."""
        while True:
            began = time.monotonic()
            await curio.sleep(STALL_CHECK_INTERVAL)
            seconds = time.monotonic() - began - STALL_CHECK_INTERVAL
            if seconds > MIN_STALL:
                self.write_fields(STALL, "", seconds)

    async def read_commands(self) -> None:
        """Apply changes of the faults until standard input ends."""
        os.set_blocking(STDIN, False)
        while True:
            await _read_wait(STDIN)
            data = os.read(STDIN, 65536)
            if not data:
                return
            for line in data.splitlines():
                for name, value in json.loads(line).items():
                    setattr(self if name == "draining" else self.faults, name, value)


def is_closed(sock) -> bool:
    """Return whether the other side has closed a connection."""
    with sock.blocking() as plain:
        plain.setblocking(False)
        try:
            return plain.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


async def serve(upstream: LoggingUpstream, port: int) -> None:
    """Serve until standard input ends."""
    await upstream.start(f"127.0.0.1:{port}")
    print(upstream.address, flush=True)
    await curio.spawn(upstream.watch_stalls, daemon=True)
    await upstream.read_commands()


def main(
    *,
    id: str,
    service: str,
    data_centre: str,
    log: str,
    port: int,
    seconds: float,
    seed: int,
    slots: int,
) -> None:
    """Run one upstream.

    :param id: id of the upstream
    :param service: name of its service
    :param data_centre: name of its data centre
    :param log: file to which arrivals and runs are appended
    :param port: port at which it listens
    :param seconds: processing time of a call
    :param seed: seed of its random faults
    :param slots: number of calls that it runs at the same time
    """
    upstream = LoggingUpstream(
        log,
        id=id,
        service=service,
        data_centre=data_centre,
        processing_time=seconds,
        seed=seed,
        slots=slots,
    )
    curio.run(serve, upstream, port, selector=LazySelector())


if __name__ == "__main__":
    sys.exit(defopt.run(main))
