"""HTTP GET of another daemon's admin port, over h11 and curio."""

from __future__ import annotations

import curio
import h11
import msgspec

from ..config.units import split_address
from ..exceptions import AdminError
from ..formatting import describe_error
from ..turns import Turn

READ_BYTES = 65536
"""Maximum number of bytes per read from the socket."""

MAX_ANSWER_BYTES = 8_000_000
"""Maximum size of an answer's body; a larger one is an error."""


async def fetch(address: str, target: str, token: str, timeout: float) -> bytes:
    """Return the body of a 200 answer to `GET target` from `address` ("IP:port").

    Raises:
        AdminError: No complete 200 answer arrived within `timeout` seconds.
    """
    try:
        async with curio.timeout_after(timeout):
            status, body = await _exchange(address, target, token)
    except curio.TaskTimeout:
        raise AdminError(f"no answer within {timeout:g} s") from None
    except OSError as error:
        raise AdminError(f"the connection to {address} failed ({describe_error(error)})") from error
    except (h11.RemoteProtocolError, ValueError) as error:
        raise AdminError(f"its answer is incomplete or not HTTP ({error})") from error
    if status != 200:
        raise AdminError(f"it answered with status {status}: {error_message(body)}")
    return bytes(body)


def error_message(body: bytes) -> str:
    """Return the message of an error answer, or the start of a body of another form."""
    try:
        return str(msgspec.json.decode(body)["error"]["message"])
    except (msgspec.DecodeError, LookupError, TypeError):
        return body[:200].decode(errors="replace")


async def _exchange(address: str, target: str, token: str) -> tuple[int, bytearray]:
    sock = await curio.open_connection(*split_address(address))
    async with sock:
        connection = h11.Connection(h11.CLIENT)
        headers = [
            ("host", address),
            ("authorization", f"Bearer {token}"),
            ("connection", "close"),
        ]
        request = h11.Request(method="GET", target=target, headers=headers)
        data = connection.send(request) + connection.send(h11.EndOfMessage())
        await sock.sendall(data)
        return await _read_answer(sock, connection)


async def _read_answer(sock: curio.io.Socket, connection: h11.Connection) -> tuple[int, bytearray]:
    status = 0
    body = bytearray()
    turn = Turn()
    while True:
        await turn.step()
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await sock.recv(READ_BYTES))
        elif type(event) is h11.Response:
            status = event.status_code
        elif type(event) is h11.Data:
            body += event.data
            if len(body) > MAX_ANSWER_BYTES:
                raise AdminError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes; request fewer rows")
        elif type(event) is not h11.InformationalResponse:
            return status, body
