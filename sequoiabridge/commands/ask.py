"""`sequoiactl ask`: run a query or command in the operators' language."""

from pathlib import Path

from ..exceptions import ConfigurationError
from .client import DEFAULT_TIMEOUT, EXIT_INCOMPLETE, make_client
from .tables import is_complete, print_answer

READ_ONLY_COMMANDS = frozenset({"show", "explain", "diff"})
"""First words of read-only commands."""


def ask(
    *command: str,
    admin: str,
    token_file: Path | None = None,
    timeout: float = DEFAULT_TIMEOUT,
    json: bool = False,
    strict: bool = False,
) -> int:
    """Run a query or command, such as "show upstreams of reports where drained = yes".

    Args:
        command: Text of the command; several arguments are joined with spaces.
        admin: Admin address (IP:port) of a daemon.
        token_file: File with the operator's token; default is the value of SEQUOIA_TOKEN.
        timeout: Seconds to wait for the answer.
        json: Print JSON.
        strict: Fail if a VM did not answer.
    """
    if not "".join(command).strip():
        raise ConfigurationError('No command is given: write one, such as "show vms".')
    client = make_client(admin, token_file, timeout)
    text = " ".join(command)
    changes = text.split(None, 1)[0].lower() not in READ_ONLY_COMMANDS
    answer = client.post("ask", body=text, changes=changes)
    print_answer(answer, json)
    return 0 if is_complete(answer) or not strict else EXIT_INCOMPLETE
