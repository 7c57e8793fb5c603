"""The baseline of the hop benchmark: a relay on curio and h11 written the plain way.

It does no more than what any such relay must: parse, strip hop-by-hop headers, choose nothing,
forward, parse the answer, relay it. It has no limits, no checks and no timeouts.
"""

import socket
import sys

import curio
import h11

HOP_BY_HOP = {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"upgrade", b"expect"}
READ_SIZE = 64 * 1024


async def next_event(sock: curio.io.Socket, http: h11.Connection):
    """Return the next event, reading as needed."""
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await sock.recv(READ_SIZE))
    return event


def passed_on(headers) -> list[tuple[bytes, bytes]]:
    """Return the headers without those of one connection."""
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP]


async def copy_body(source, source_http, target, target_http) -> None:
    """Send on each piece of a body and its end."""
    while type(event := await next_event(source, source_http)) is h11.Data:
        await target.sendall(target_http.send(event))
    if end := target_http.send(h11.EndOfMessage()):
        await target.sendall(end)


class BareRelay:
    """Relays every call to one upstream, over connections that it keeps."""

    def __init__(self, upstream: str):
        host, _, port = upstream.rpartition(":")
        self.upstream = (host, int(port))
        self.idle: list[tuple[curio.io.Socket, h11.Connection]] = []

    async def connect(self) -> tuple[curio.io.Socket, h11.Connection]:
        """Return a connection to the upstream."""
        if self.idle:
            return self.idle.pop()
        sock = await curio.open_connection(*self.upstream)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, h11.Connection(h11.CLIENT)

    async def serve_caller(self, sock: curio.io.Socket, _address) -> None:
        """Relay the calls of one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        http = h11.Connection(h11.SERVER)
        while type(request := await next_event(sock, http)) is h11.Request:
            target, target_http = await self.connect()
            headers = passed_on(request.headers)
            event = h11.Request(method=request.method, target=request.target, headers=headers)
            await target.sendall(target_http.send(event))
            await copy_body(sock, http, target, target_http)
            answer = await next_event(target, target_http)
            headers = passed_on(answer.headers)
            event = h11.Response(status_code=answer.status_code, headers=headers)
            await sock.sendall(http.send(event))
            await copy_body(target, target_http, sock, http)
            http.start_next_cycle()
            target_http.start_next_cycle()
            self.idle.append((target, target_http))


def main() -> None:
    """Listen on a free port of the loopback, print the address, relay until killed."""
    relay = BareRelay(sys.argv[1])
    listener = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=1024)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    curio.run(curio.network.run_server, listener, relay.serve_caller)


if __name__ == "__main__":
    main()
