"""Callers of the hop benchmark, on plain sockets so that they cost little themselves."""

import select
import socket
import time

REQUEST = (
    b"GET /dashboards/supplier/1738?period=2026-11 HTTP/1.1\r\n"
    b"Host: spendview.kaleva.example\r\nUser-Agent: bench/1.0\r\nAccept: application/json\r\n"
    b"Accept-Encoding: gzip\r\nAccept-Language: fi, sv;q=0.8\r\nSequoia-Caller: helsinki\r\n"
    b'Sequoia-Deadline-Ms: 2000\r\nIf-None-Match: "7f3a91"\r\n\r\n'
)
PIECE = b"u" * (256 * 1024)
READ_SIZE = 64 * 1024
LIMIT = 60.0
"""Seconds without any answer after which a run is given up."""


def answer_size(data: bytes) -> int:
    """Return the size of the answer that `data` begins, 0 while its head is not whole."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return 0
    head = data[:end].lower()
    length = head.split(b"content-length:")[1].split(b"\r\n")[0]
    return end + 4 + int(length)


def read_answer(sock: socket.socket) -> bytes:
    """Read one whole answer."""
    data = sock.recv(READ_SIZE)
    while not (size := answer_size(data)) or len(data) < size:
        more = sock.recv(READ_SIZE)
        if not more:
            raise RuntimeError(f"The answer was cut off after {len(data)} bytes.")
        data += more
    if not data.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"Not the expected answer: {data[:200]!r}")
    return data


def one_caller(sock: socket.socket, calls: int, pause: float) -> list[float]:
    """Make calls one after the other; return how long each took, in seconds.

    Between two calls the caller spins for `pause` seconds: over a network none comes at once.
    """
    times = []
    with sock:
        sock.settimeout(LIMIT)
        for _ in range(calls):
            resume = time.perf_counter() + pause
            while time.perf_counter() < resume:
                pass
            start = time.perf_counter()
            sock.sendall(REQUEST)
            read_answer(sock)
            times.append(time.perf_counter() - start)
    return times


def many_callers(socks: list[socket.socket], calls: int) -> list[float]:
    """Make `calls` calls in all over `socks`, one at a time on each; return the times."""
    epoll = select.epoll()
    by_fileno = {sock.fileno(): sock for sock in socks}
    started: dict[int, float] = {}
    times: list[float] = []
    left = calls
    for fileno, sock in by_fileno.items():
        epoll.register(fileno, select.EPOLLIN)
        started[fileno] = time.perf_counter()
        sock.sendall(REQUEST)
        left -= 1
    while len(times) < calls:
        ready = epoll.poll(LIMIT)
        if not ready:
            raise RuntimeError("No answer at all; the run is given up.")
        for fileno, _ in ready:
            sock = by_fileno[fileno]
            read_answer(sock)
            times.append(time.perf_counter() - started[fileno])
            if left > 0:
                left -= 1
                started[fileno] = time.perf_counter()
                sock.sendall(REQUEST)
    epoll.close()
    for sock in socks:
        sock.close()
    return times


def upload(sock: socket.socket, size: int) -> None:
    """Send a body of `size` bytes and read the answer."""
    head = b"PUT /exports/ledger.csv HTTP/1.1\r\nHost: lataus.example\r\nContent-Length: %d\r\n\r\n"
    with sock:
        sock.settimeout(LIMIT)
        sock.sendall(head % size)
        left = size
        while left > 0:
            sock.sendall(PIECE[: min(left, len(PIECE))])
            left -= len(PIECE)
        read_answer(sock)
