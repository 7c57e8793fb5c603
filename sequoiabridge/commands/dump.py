"""`sequoiactl dump`: the state of one daemon."""

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
        part: Only this part of it, such as `configuration`.
        admin: IP:port of the daemon's admin port.
        token_file: File with the operator's token; else SEQUOIA_TOKEN is used.
        timeout: Seconds that the answer may take.
        json: Print JSON.
    """
    client = make_client(admin, token_file, timeout)
    print_answer(client.get("dump", **({"part": part} if part else {})), json)
    return 0
