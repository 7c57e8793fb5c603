"""`sequoiactl explain`: what was decided about one request."""

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
    """Say which upstreams were weighed for a request, on what evidence, and what came of it.

    Args:
        request_id: The `Sequoia-Request-Id` of its answer.
        admin: IP:port of the admin port of the daemon that took the request.
        token_file: File with the operator's token; else SEQUOIA_TOKEN is used.
        timeout: Seconds that the answer may take.
        json: Print JSON.
    """
    client = make_client(admin, token_file, timeout)
    print_answer(client.get("explain", request_id), json)
    return 0
