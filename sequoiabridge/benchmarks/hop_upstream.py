"""Stand-in upstream for the hop benchmark: a fixed answer at the least cost, no HTTP library."""

import re
import socket
import sys

import curio

BODY = b"x" * 512
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Sequoia-Load: in_flight=1;slots=2;age_ms=0\r\nContent-Length: %d\r\n\r\n" % len(BODY)
) + BODY
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
READ_SIZE = 256 * 1024


async def serve_caller(sock: curio.io.Socket, _address) -> None:
    """Answer each request on a connection once all of its body has come."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    held = b""
    while True:
        while (end := held.find(b"\r\n\r\n")) < 0:
            data = await sock.recv(READ_SIZE)
            if not data:
                return
            held += data
        found = LENGTH.search(held, 0, end)
        missing = int(found[1]) if found else 0
        body = len(held) - end - 4
        held = held[end + 4 + missing :]
        missing -= body
        while missing > 0:
            data = await sock.recv(min(READ_SIZE, missing))
            if not data:
                return
            missing -= len(data)
        await sock.sendall(ANSWER)


def main() -> None:
    """Listen on the port given or a free one, print the address, serve until killed."""
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    listener = curio.network.tcp_server_socket("127.0.0.1", port, backlog=1024)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    curio.run(curio.network.run_server, listener, serve_caller)


if __name__ == "__main__":
    main()
