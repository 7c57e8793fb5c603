"""End-to-end tests of calls that are sent during a planned stop."""

import json
import socket

import curio
import pytest

from .environment import document, route, run_in_environment

CALLERS = 16


async def stop(env, grace):
    """Request a planned stop with the given grace period; return its time."""
    env.gateway.settings.bounds.grace = grace
    env.gateway.begin_stop()
    await env.gateway.stop_requested.set()
    return env.gateway.clock.now()


async def keep_connection(env, number):
    """Return a connection on which a call has been answered."""
    connection = await env.connect()
    assert (await connection.call("/read/x", f"first-{number}")).status == 200
    return connection


class LateCall:
    """A call that is sent on a kept connection `delay` seconds after a stop was requested."""

    def __init__(self, number, connection, delay):
        self.id = f"late-{number}"
        self.connection = connection
        self.delay = delay
        self.reply = None
        self.ended_at = 0.0

    async def send(self, env, stopped_at):
        await curio.sleep(stopped_at + self.delay - env.gateway.clock.now())
        try:
            self.reply = await self.connection.call("/long/x", self.id, timeout_ms=20000)
        except OSError:
            pass  # The daemon had closed the connection.
        self.ended_at = env.gateway.clock.now()

    def is_answered_by(self, time):
        """Return whether an upstream's answer came before the given time."""
        return self.reply is not None and self.reply.status == 200 and self.ended_at < time


async def send_and_do_not_read(env):
    """Make a call with a long answer, which its caller does not read; return the connection."""
    for upstream in env.upstreams.values():
        upstream.faults.answer_size = 8_000_000
    long_route = route("/long/", "idempotent", "reads", timeout_s=20)
    await env.store.put("op", "config", document(2, [long_route]))
    await env.wait_until(lambda: env.gateway.configuration.version == 2)
    connection = await env.connect()
    await connection.send("/long/x", "unread", timeout_ms=20000)
    await env.wait_until(lambda: env.run_count("unread"))
    return connection


@pytest.mark.parametrize("grace", [2.0, 6.0])
def test_calls_sent_late_in_a_stop_are_not_run_and_then_cut_off(grace):
    # Idle connections took calls for longer than the rest of the grace period could serve.
    async def test(env):
        long_route = route("/long/", "idempotent", "reads", timeout_s=2 * grace)
        await env.store.put("op", "config", document(2, [long_route]))
        await env.wait_until(lambda: env.gateway.configuration.version == 2)
        connections = [await keep_connection(env, number) for number in range(CALLERS)]
        for upstream in env.upstreams.values():
            upstream.processing_time = 0.475 * grace
        stopped_at = await stop(env, grace)
        calls = [
            LateCall(number, connection, grace * (0.42 + 0.01 * number))
            for number, connection in enumerate(connections)
        ]
        sends = [await curio.spawn(call.send, env, stopped_at) for call in calls]
        assert await env.gateway_task.join() == 0
        # The process ends now, and with it all open connections.
        ended_at = env.gateway.clock.now()
        for send in sends:
            await send.join()
        late = [call for call in calls if call.delay > min(3.0, grace / 2)]
        assert ended_at < stopped_at + grace
        run = [call for call in late if env.run_count(call.id)]
        assert [call.id for call in run if not call.is_answered_by(ended_at)] == []
        assert any(call.is_answered_by(ended_at) for call in calls)

    run_in_environment(test, reads=8)


def test_a_call_whose_body_ends_late_in_a_stop_is_refused_as_not_run():
    # Its upstream would have been cut off in its work.
    async def test(env):
        long_route = route("/long/", "non_idempotent", "reads", timeout_s=20)
        await env.store.put("op", "config", document(2, [long_route]))
        await env.wait_until(lambda: env.gateway.configuration.version == 2)
        connection = await env.connect()
        head = b"POST /long/x HTTP/1.1\r\nHost: reads.example\r\nX-Attempt-Id: slow\r\n"
        await connection.sock.sendall(head + b"Content-Length: 4\r\n\r\nab")
        stopped_at = await stop(env, 2.0)
        await curio.sleep(stopped_at + 1.2 - env.gateway.clock.now())
        await connection.sock.sendall(b"cd")
        reply = await connection.sock.recv(65536)
        assert reply.startswith(b"HTTP/1.1 503") and b"stopping" in reply
        assert env.run_count("slow") == 0
        assert await env.gateway_task.join() == 0

    run_in_environment(test)


def test_an_answer_that_its_caller_reads_slowly_is_whole_after_the_process_has_ended():
    # What the system had not taken from the process yet was lost.
    async def test(env):
        for upstream in env.upstreams.values():
            upstream.faults.answer_size = 250_000
        long_route = route("/long/", "idempotent", "reads", timeout_s=20)
        await env.store.put("op", "config", document(2, [long_route]))
        await env.wait_until(lambda: env.gateway.configuration.version == 2)
        connection = await env.connect(receive_buffer=4096)
        await env.wait_until(lambda: env.gateway.callers.open_connections)
        for open_connection in env.gateway.callers.open_connections:
            open_connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await connection.send("/long/x", "slow", timeout_ms=20000)
        await env.wait_until(lambda: env.gateway.callers.dump()["phases"] == {"answer": 1})
        await stop(env, 1.0)
        assert await env.gateway_task.join() == 0
        reply = await connection.reply()
        assert reply.is_complete and len(reply.body) == 250_000
        await connection.sock.close()

    run_in_environment(test)


def test_a_body_that_comes_too_late_in_a_stop_is_not_waited_for():
    # Its caller got no answer before the process ended.
    async def test(env):
        long_route = route("/long/", "upload", "reads", timeout_s=20)
        await env.store.put("op", "config", document(2, [long_route]))
        await env.wait_until(lambda: env.gateway.configuration.version == 2)
        connection = await env.connect()
        head = b"POST /long/x HTTP/1.1\r\nHost: reads.example\r\nX-Attempt-Id: slow\r\n"
        await connection.sock.sendall(head + b"Content-Length: 4\r\n\r\nab")
        stopped_at = await stop(env, 2.0)
        reply = await connection.sock.recv(65536)
        assert reply.startswith(b"HTTP/1.1 503") and b"stopping" in reply
        assert env.gateway.clock.now() < stopped_at + 1.5
        await connection.sock.close()
        assert await env.gateway_task.join() == 0

    run_in_environment(test)


def test_a_call_that_is_still_open_at_the_end_of_a_stop_gets_an_answer():
    # It was cut off without one.
    async def test(env):
        for upstream in env.upstreams.values():
            upstream.faults.hang = True
        long_route = route("/long/", "idempotent", "reads", timeout_s=20)
        await env.store.put("op", "config", document(2, [long_route]))
        await env.wait_until(lambda: env.gateway.configuration.version == 2)
        connection = await env.connect()
        await connection.send("/long/x", "open", timeout_ms=20000)
        await env.wait_until(lambda: env.run_count("open"))
        await stop(env, 1.0)
        reply = await connection.reply()
        assert reply.status == 502 and reply.is_complete
        assert await env.gateway_task.join() == 0

    run_in_environment(test)


def test_a_process_that_ends_while_a_caller_reads_its_answer_ends_without_an_error():
    async def test(env):
        connection = await send_and_do_not_read(env)
        await stop(env, 1.0)
        assert await env.gateway_task.join() == 0
        await connection.sock.close()

    run_in_environment(test)


def test_the_log_of_a_stop_tells_when_its_steps_were_taken_and_which_calls_were_open():
    # The last line of a lost call said that its caller had left.
    async def test(env):
        connection = await send_and_do_not_read(env)
        env.gateway.settings.bounds.grace = 1.0
        env.gateway.begin_stop()
        await curio.sleep(0.25)
        await env.gateway.stop_requested.set()
        assert await env.gateway_task.join() == 0
        await connection.sock.close()
        events = [json.loads(line) for line in env.log_lines]
        began = next(event for event in events if event["event"] == "stop")
        assert 250 <= began["noticed_ms"] < 1000
        steps = [event["step"] for event in events if event["event"] == "stop-step"]
        assert steps == ["accept_until", "take_until"]
        ended = next(event for event in events if event["event"] == "stopped")
        assert ended["cut_off"] == 1 and ended["connections"] == {"answer": 1}

    run_in_environment(test)


def test_the_row_of_a_call_without_a_route_names_the_configuration():
    async def test(env):
        assert (await env.call("/unknown/x", "lost")).status == 404
        row = next(json.loads(line) for line in env.log_lines if b'"id":"lost"' in line)
        assert row["configuration"] == 1

    run_in_environment(test)
