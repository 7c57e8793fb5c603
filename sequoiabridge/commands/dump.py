"""`sequoiactl dump`: show the state of a daemon."""

from pathlib import Path

from .client import DEFAULT_TIMEOUT, make_client
from .tables import print_answer


def dump(
    part: str = "",
    *,
    admin: str,
    token_file: Path | None = None,
    timeout: float = DEFAULT_TIMEOUT,
    json: bool = False,
) -> int:
    """Show the state of a daemon.

    Args:
        part: Part of the state to show, such as `configuration`; default is all.
        admin: Admin address (IP:port) of the daemon.
        token_file: File with the operator's token; default is the value of SEQUOIA_TOKEN.
        timeout: Seconds to wait for the answer.
        json: Print JSON.
    """
    client = make_client(admin, token_file, timeout)
    print_answer(client.get("dump", **({"part": part} if part else {})), json)
    return 0
