"""Tests of the admin port over loopback sockets: authorization, errors and limits."""

import curio
import msgspec
import pytest

from .fakes import TOKEN, FakeDaemon, exchange, request


def serve(*requests, **daemon_options):
    """Send each request to the same daemon; return the status code and body of each answer."""

    async def run():
        async with FakeDaemon(**daemon_options) as daemon:
            return [parse_answer(await exchange(daemon.server.address, data)) for data in requests]

    return curio.run(run)


def parse_answer(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


@pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x", TOKEN[:-1], "é"])
def test_a_wrong_token_gives_access_to_health_and_metrics_only(token):
    protected = ["GET /dump", "POST /ask", "POST /apply", "GET /explain/r1", "GET /rows", "GET /no"]
    public = ["GET /ready", "GET /live", "GET /metrics", "HEAD /ready"]
    answers = serve(*(request(*page.split(), token=token) for page in protected + public))
    assert [status for status, _ in answers] == [401] * len(protected) + [200] * len(public)
    assert not any(TOKEN.encode() in body for _, body in answers)


def test_ready_returns_503_with_the_reason_while_draining():
    async def run():
        async with FakeDaemon() as daemon:
            daemon.readiness.state = (False, "It is draining.")
            return await exchange(daemon.server.address, request("GET", "/ready", token=""))

    assert parse_answer(curio.run(run)) == (503, b"It is draining.\n")


def test_errors_have_kind_column_and_message():
    (status, body), (missing, _), (bad, _) = serve(
        request("POST", "/ask", b"show serices"),
        request("GET", "/dump?part=none"),
        request("POST", "/apply?expect=x", b""),
    )
    error = msgspec.json.decode(body)["error"]
    assert (status, missing, bad) == (400, 404, 400)
    assert (error["kind"], error["column"]) == ("language", 6)
    assert "Did you mean services?" in error["message"]


def test_a_conflicting_change_gets_409_with_the_author_of_the_other():
    async def run():
        async with FakeDaemon() as daemon:
            address = daemon.server.address
            drain = request("POST", "/ask", b"drain upstream a1", extra="Sequoia-Author: anna\r\n")
            resume = request("POST", "/ask", b"resume upstream a1 expect version 1")
            return parse_answer(await exchange(address, drain)), parse_answer(
                await exchange(address, resume)
            )

    (won, first), (lost, second) = curio.run(run)
    assert (won, lost) == (200, 409)
    assert msgspec.json.decode(first)["version"] == 2
    assert "anna set version 2" in msgspec.json.decode(second)["error"]["message"]


def test_oversized_or_malformed_requests_are_rejected():
    chunked = b"POST /ask HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    answers = serve(
        request("GET", "/live", extra=f"X: {'y' * 5000}\r\n"),
        request("POST", "/ask", b"z" * 1_000_000),
        chunked + b"7d0\r\n" + b"z" * 2000 + b"\r\n0\r\n\r\n",
        b"GET /live HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        max_head=1000,
        max_body=1000,
    )
    assert [status for status, _ in answers] == [431, 413, 413, 400]


def test_idle_connections_are_closed_on_timeout_and_for_the_health_check():
    async def run():
        async with FakeDaemon(max_connections=2, idle_timeout=0.05) as daemon:
            idle = exchange(daemon.server.address, b"GET /li")
            assert await idle == b""
        async with FakeDaemon(max_connections=2, idle_timeout=60.0) as daemon:
            address = daemon.server.address
            waiting = [await curio.spawn(exchange(address, b"GET /li")) for _ in range(2)]
            while daemon.server.accepted < 2:
                await curio.sleep(0)
            answer = await exchange(address, request("GET", "/ready"))
            closed = await waiting[0].join()
            await waiting[1].cancel()
            return parse_answer(answer), closed, daemon.server.dump()["turned_away"]

    assert curio.run(run) == ((200, b"It serves callers.\n"), b"", 1)


def test_pipelined_requests_are_all_answered():
    one = b"GET /live HTTP/1.1\r\nHost: x\r\n\r\n"
    last = request("GET", "/ready")

    async def run():
        async with FakeDaemon() as daemon:
            return await exchange(daemon.server.address, one + one + last)

    assert curio.run(run).count(b"HTTP/1.1 200") == 3


def test_commands_for_which_there_is_no_memory_are_rejected():
    async def main():
        async with FakeDaemon() as daemon:
            daemon.server.memory.limit = 100
            return await exchange(daemon.server.address, request("POST", "/apply", b"x" * 200))

    answer = curio.run(main)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"no-memory" in answer
