"""`sequoiactl explain`: show how a request was handled."""

from pathlib import Path

from .client import DEFAULT_TIMEOUT, make_client
from .tables import print_answer


def explain(
    request_id: str,
    *,
    admin: str,
    token_file: Path | None = None,
    timeout: float = DEFAULT_TIMEOUT,
    json: bool = False,
) -> int:
    """Show the upstreams considered for a request, the data behind the choice, and the outcome.

    Args:
        request_id: Value of `Sequoia-Request-Id` in the answer to the request.
        admin: Admin address (IP:port) of the daemon that received the request.
        token_file: File with the operator's token; default is the value of SEQUOIA_TOKEN.
        timeout: Seconds to wait for the answer.
        json: Print JSON.
    """
    client = make_client(admin, token_file, timeout)
    print_answer(client.get("explain", request_id), json)
    return 0
