"""Crowds at the daemon for fleets without the users' platform."""

import curio
import pytest

from ....benchmarks.processes import Trial
from ....benchmarks.scene import Scene, healthy
from ....selector import LazySelector
from ..environment import Connection
from .crowd import Crowd, CrowdCaller, head
from .observer import ProcessObserver

MEMORY_MB = 128
"""Memory of the daemon's machine, in megabytes; the daemon itself needs more than the gateway."""

MAX_DESCRIPTORS = 400

CROWD = 80
CONNECTIONS = MAX_DESCRIPTORS + 200
ORDINARY_TIMEOUT = 20.0
READ_TIMEOUT = 30.0

UPLOAD_BYTES = 4_100_000
"""Size of an upload; a little less than the chunk that the daemon keeps in memory."""

SPOOLED = head("PUT", "/files/7", f"Content-Length: {UPLOAD_BYTES}", "mottag.example.org")
SPOOLED += b"x" * (UPLOAD_BYTES - 1)
UNFINISHED_HEAD = b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 12_000

COMMAND_BYTES = 3_900_000
"""Size of a command to the admin port; a little less than what it accepts."""

COMMAND = head("POST", "/apply", f"Content-Length: {COMMAND_BYTES}") + b"x" * (COMMAND_BYTES - 1)

READ_HOST = "spendview.example.org"


async def check_ordinary_request(address: str) -> None:
    host, _, port = address.rpartition(":")
    async with curio.timeout_after(ORDINARY_TIMEOUT):
        connection = Connection(await curio.open_connection(host, int(port)))
        reply = await connection.call("/items/7?size=600", "o1", host=READ_HOST)
        await connection.sock.close()
    assert reply.status == 200 and reply.is_complete


async def let_in(scene: Scene, crowd: Crowd) -> None:
    """Let a crowd come; check that requests are answered and that the process keeps its bounds."""
    daemon = scene.daemons[0]
    observer = ProcessObserver(daemon.process.child.pid)
    watch = await curio.spawn(observer.watch_descriptors, daemon=True)
    await crowd.come()
    await observer.wait_until_read(daemon.callers, READ_TIMEOUT)
    await observer.wait_until_read(daemon.admin, READ_TIMEOUT)
    await check_ordinary_request(daemon.callers)
    await watch.cancel()
    memory, descriptors = observer.peak_memory(), observer.peak_descriptors
    print(f"peak memory {memory / 1e6:.1f} MB, descriptors {descriptors}")
    assert daemon.running and healthy(daemon)
    assert memory <= MEMORY_MB * 1000 * 1000
    assert descriptors <= MAX_DESCRIPTORS
    await crowd.leave()


def run_scene(make_callers) -> None:
    """Let the callers of `make_callers(daemon)` come to a daemon on a small machine."""
    options = {"memory": f"{MEMORY_MB}MB", "descriptors": MAX_DESCRIPTORS}
    with Trial() as trial:
        scene = Scene(trial, 1, vm_options=options)
        scene.start()
        crowd = Crowd(make_callers(scene.daemons[0]))
        curio.run(let_in, scene, crowd, selector=LazySelector())


def test_many_uploads_that_stop_short_of_their_end_fit_into_memory():
    # Each upload kept a chunk of 4 MiB, and nothing limited what all uploads kept together.
    run_scene(lambda daemon: [CrowdCaller(daemon.callers, SPOOLED) for _ in range(CROWD)])


def test_many_commands_that_stop_short_of_their_end_fit_into_memory():
    # The admin port read 4 MB on each of its 64 connections before it looked at the token.
    run_scene(lambda daemon: [CrowdCaller(daemon.admin, COMMAND) for _ in range(CROWD)])


@pytest.mark.parametrize("port", ["callers", "admin"])
def test_many_connections_at_a_port_leave_descriptors_for_the_rest(port):
    # The ports' limits did not follow from the descriptors that the process may open.
    run_scene(
        lambda daemon: [
            CrowdCaller(getattr(daemon, port), UNFINISHED_HEAD) for _ in range(CONNECTIONS)
        ]
    )
