"""`sequoiactl ask`: one query or command of the operators' language."""

from pathlib import Path

from ..exceptions import ConfigurationError
from .client import NOT_ALL_HEARD, TIMEOUT, make_client
from .tables import all_heard, show

ASKING = frozenset({"show", "explain", "diff"})
"""First words of the commands that change nothing."""


def ask(
    *command: str,
    admin: str,
    token_file: Path | None = None,
    timeout: float = TIMEOUT,
    json: bool = False,
    strict: bool = False,
) -> int:
    """Run one query or command, such as "show upstreams of reports where drained = yes".

    Args:
        command: Its text; several words are joined by spaces.
        admin: IP:port of a daemon's admin port.
        token_file: File with the operator's token; else SEQUOIA_TOKEN is used.
        timeout: Seconds that the answer may take.
        json: Print JSON.
        strict: Fail if a VM was not heard.
    """
    if not "".join(command).strip():
        raise ConfigurationError('There is nothing to ask: write a command, such as "show vms".')
    client = make_client(admin, token_file, timeout)
    text = " ".join(command)
    changes = text.split(None, 1)[0].lower() not in ASKING
    answer = client.post("ask", body=text, changes=changes)
    show(answer, json)
    return 0 if all_heard(answer) or not strict else NOT_ALL_HEARD
