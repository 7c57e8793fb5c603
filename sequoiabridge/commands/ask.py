"""`sequoiactl ask`: one query or command of the operators' language."""

from pathlib import Path

from ..exceptions import ConfigurationError
from .client import DEFAULT_TIMEOUT, EXIT_INCOMPLETE, make_client
from .tables import is_complete, print_answer

READ_ONLY_COMMANDS = frozenset({"show", "explain", "diff"})
"""First words of the commands that change nothing."""


def ask(
    *command: str,
    admin: str,
    token_file: Path | None = None,
    timeout: float = DEFAULT_TIMEOUT,
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
    changes = text.split(None, 1)[0].lower() not in READ_ONLY_COMMANDS
    answer = client.post("ask", body=text, changes=changes)
    print_answer(answer, json)
    return 0 if is_complete(answer) or not strict else EXIT_INCOMPLETE
