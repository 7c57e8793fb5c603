"""Tests of the caller server: framing, limits, truncated answers, disconnects and planned stops."""

import curio
import pytest

from ...exceptions import Refusal, UpstreamFailed
from ...outcome import Outcome, Reason
from ...pipeline.exchange import Answer, Body
from .server_fixture import GET, ok, read_all, read_until, serve, wait_until

POST = b"POST / HTTP/1.1\r\nHost: a\r\n"


async def echo(request):
    data = b""
    while request.body and (piece := await request.body.read()):
        data += piece
    return ok(request.method + request.target + data)


class TruncatedBody(Body):
    """A body that fails after one piece."""

    def __init__(self):
        self.pieces = [b"half"]

    async def read(self):
        if self.pieces:
            return self.pieces.pop()
        raise UpstreamFailed("It died.", sent=True)


def test_pipelined_requests_are_answered_in_order_and_the_half_closed_caller_gets_all():
    async def test(server, handler, connect):
        chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        sock = await connect(GET + chunked + GET.replace(b"GET", b"HEAD"))
        await sock.shutdown(1)
        data = await read_all(sock)
        assert data.count(b"HTTP/1.1 200 OK") == 3
        assert data.index(b"GET/") < data.index(b"POST/abcde") < data.index(b"content-length: 5")
        assert data.endswith(b"\r\n\r\n"), "a HEAD answer has no body"
        assert handler.clean_ends == [True, True, True]

    serve(echo, test)


@pytest.mark.parametrize(
    "head",
    [
        POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        POST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
        POST + b"Content-Length: 3, 3\r\n\r\n",
        GET[:-2] + b"X: a\r\n b\r\n\r\n",
        GET[:-2] + b"Transfer-Encoding: gzip\r\n\r\n",
        b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
        GET[:-2] + b"X: %s\r\n\r\n" % (b"x" * 5000),
    ],
)
def test_ambiguous_or_oversized_heads_reach_no_handler(head):
    async def test(server, handler, connect):
        data = await read_all(await connect(head))
        assert data.startswith((b"HTTP/1.1 4", b"HTTP/1.1 501"))
        assert b"sequoia-outcome: not-run\r\n" in data and b"connection: close" in data
        assert b"sequoia-request-id: id-0" in data
        assert handler.requests == []

    serve(echo, test, max_head=4096)


def test_connection_specific_and_reserved_headers_are_removed():
    async def test(server, handler, connect):
        extra = b"Connection: X-Hop\r\nX-Hop: 1\r\nSequoia-Outcome: not-run\r\nX-Keep: 2\r\n\r\n"
        await read_until(await connect(GET[:-2] + extra), b"GET/")
        assert handler.requests[0].headers == [(b"host", b"a"), (b"x-keep", b"2")]

    serve(echo, test)


def test_100_continue_is_sent_only_when_the_body_is_wanted():
    async def refuse(request):
        raise Refusal(503, Outcome.NOT_RUN, Reason.QUEUE_FULL, "Full.", retry_after=0.2)

    expecting = POST + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"

    async def wanted(server, handler, connect):
        sock = await connect(expecting)
        assert (await read_until(sock, b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        await sock.sendall(b"abc")
        await read_until(sock, b"POST/abc")

    async def refused(server, handler, connect):
        data = await read_all(await connect(expecting))
        assert data.startswith(b"HTTP/1.1 503") and b"HTTP/1.1 100" not in data
        assert b"retry-after: 1\r\n" in data and b"sequoia-reason: queue-full" in data
        assert b"connection: close" in data

    serve(echo, wanted)
    serve(refuse, refused)


def test_body_beyond_its_limit_is_refused_without_being_read():
    async def test(server, handler, connect):
        data = await read_all(await connect(POST + b"Content-Length: 999\r\n\r\n"))
        assert data.startswith(b"HTTP/1.1 413") and b"sequoia-outcome: not-run" in data
        chunked = b"Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n12345678\r\n"
        data = await read_all(await connect(POST + chunked))
        assert data.startswith(b"HTTP/1.1 413") and b"sequoia-outcome: unknown" in data

    serve(echo, test, max_body=10)


class HangingBody(Body):
    """A body that never goes on after its first piece."""

    def __init__(self):
        self.pieces = [b"half"]

    async def read(self):
        if not self.pieces:
            await curio.sleep(1000)
        return self.pieces.pop()


@pytest.mark.parametrize("body", [TruncatedBody, HangingBody])
@pytest.mark.parametrize("length", [None, 10])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_an_answer_that_breaks_off_or_hangs_ends_and_does_not_look_complete(body, length, version):
    # The caller of a streamed answer that hung waited for good, whatever the call's deadline.
    async def broken(request):
        answer = Answer(200, [], length, body())
        answer.deadline = 0.0
        return answer

    async def test(server, handler, connect):
        sock = await connect(GET.replace(b"1.1", version))
        data, reset = b"", False
        try:
            while piece := await sock.recv(65536):
                data += piece
        except ConnectionResetError:
            reset = True
        assert not data.endswith(b"\r\n0\r\n\r\n")
        assert reset or length or version == b"1.1", "a clean end to a body without a length"
        await wait_until(lambda: handler.clean_ends == [False] and server.connections == 0)

    serve(broken, test)


def test_an_answer_without_a_length_does_not_look_complete_when_its_task_is_cancelled():
    # The connection ended in order, as after the whole answer.
    async def hang(request):
        return Answer(200, [], None, HangingBody())

    async def test(server, handler, connect):
        sock = await connect(GET.replace(b"1.1", b"1.0"))
        await read_until(sock, b"half")
        (connection,) = server.open_connections
        await connection.transport.task.cancel()
        with pytest.raises(ConnectionResetError):
            await read_all(sock)

    serve(hang, test)


def test_a_caller_that_does_not_read_its_answer_is_cut_off_at_the_deadline():
    # It was given 30 s for each piece, whatever the timeout of its call.
    async def answer(request):
        whole = ok(bytes(50_000_000))
        whole.deadline = 1.0
        return whole

    async def test(server, handler, connect):
        sock = await connect(GET)
        await wait_until(lambda: server.dump()["phases"] == {"answer": 1})
        server.clock.advance(1.1)
        await wait_until(lambda: handler.clean_ends == [False] and server.connections == 0)
        await sock.close()

    serve(answer, test)


def test_slow_head_and_slow_body_get_408_and_idle_callers_are_closed():
    async def test(server, handler, connect):
        idle, head = await connect(), await connect(GET[:10])
        body = await connect(POST + b"Content-Length: 3\r\n\r\na")
        await wait_until(lambda: server.dump()["phases"] == {"idle": 1, "head": 1, "body": 1})
        server.clock.advance(100)
        assert await read_all(idle) == b""
        assert (await read_all(head)).startswith(b"HTTP/1.1 408")
        data = await read_all(body)
        assert data.startswith(b"HTTP/1.1 408") and b"sequoia-outcome: unknown" in data
        await wait_until(lambda: server.connections == 0)

    serve(echo, test)


@pytest.mark.parametrize("reset", [True, False])
def test_handler_is_cancelled_when_its_caller_disconnects(reset):
    async def stuck(request):
        await curio.sleep(1000)

    async def test(server, handler, connect):
        sock = await connect(GET)
        await wait_until(lambda: handler.requests)
        if reset:
            sock.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")
        await sock.close()
        await wait_until(lambda: handler.cancelled == 1 and server.connections == 0)

    serve(stuck, test)


def test_connections_beyond_the_limit_get_503():
    async def test(server, handler, connect):
        first = await connect(GET)
        await read_until(first, b"GET/")
        data = await read_all(await connect())
        assert data.startswith(b"HTTP/1.1 503") and b"sequoia-outcome: not-run" in data

    serve(echo, test, max_connections=1)


def test_planned_stop_finishes_uploads_and_closes_idle_connections():
    async def test(server, handler, connect):
        idle = await connect(GET)
        await read_until(idle, b"GET/")
        upload = await connect(POST + b"Content-Length: 6\r\n\r\nabc")
        await wait_until(lambda: server.in_flight == 1)
        await server.stop_accepting()
        server.close_idle()
        assert await read_all(idle) == b""
        await upload.sendall(b"def")
        data = await read_all(upload)
        assert b"connection: close" in data and data.endswith(b"POST/abcdef")
        await upload.close()
        await server.wait_idle()
        with pytest.raises(OSError):
            await connect()

    serve(echo, test)


@pytest.mark.parametrize("planned", [True, False])
def test_closing_idle_connections_spares_one_on_which_a_request_has_arrived(planned):
    # The request was run, and its answer could not be sent any more.
    async def test(server, handler, connect):
        sock = await connect()
        await wait_until(lambda: server.connections == 1)
        (connection,) = server.open_connections
        with sock.blocking() as plain:
            plain.send(GET)
            if planned:
                server.close_idle()
            else:
                connection.transport.expire_wait(server.clock.now() + 100)
        assert (await read_until(sock, b"GET/")).startswith(b"HTTP/1.1 200")

    serve(echo, test)


def test_handler_error_gets_500_with_unknown_outcome_and_no_finished_call():
    async def faulty(request):
        raise KeyError("x")

    async def test(server, handler, connect):
        sock = await connect(GET + GET)
        await sock.shutdown(1)
        data = await read_all(sock)
        assert data.count(b"HTTP/1.1 500") == 2 and data.count(b"sequoia-outcome: unknown") == 2
        assert handler.clean_ends == []

    serve(faulty, test)
