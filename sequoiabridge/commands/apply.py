"""`sequoiactl apply`: replace the fleet's configuration by that of a file."""

from pathlib import Path

from ..config.ini import read_file
from ..config.loading import parse_document
from ..config.problem import join_problems
from ..exceptions import ConfigurationError
from .client import DEFAULT_TIMEOUT, EXIT_INCOMPLETE, make_client
from .tables import is_complete, print_answer


def apply(
    file: Path,
    *,
    admin: str,
    expect: int | None = None,
    dry_run: bool = False,
    token_file: Path | None = None,
    timeout: float = DEFAULT_TIMEOUT,
    json: bool = False,
    strict: bool = False,
) -> int:
    """Replace the fleet's configuration by that of a file, with the smallest change.

    Args:
        file: File with the fleet configuration; it is checked before it is sent.
        admin: Admin address (IP:port) of a daemon.
        expect: Version that must be in force; exit code 3 if another one is.
        dry_run: Only show what would change.
        token_file: File with the operator's token; default is the value of SEQUOIA_TOKEN.
        timeout: Seconds to wait for the answer.
        json: Print JSON.
        strict: Send nothing if the file has warnings; fail if a VM did not answer.
    """
    client = make_client(admin, token_file, timeout)
    text = read_file(file)
    read = text.bind(lambda content: parse_document(content, str(file)))
    problems = read.error if read.is_error() else read.ok.warnings(str(file))
    if read.is_error() or (strict and problems):
        raise ConfigurationError(f"Nothing was sent: {join_problems(problems)}.")
    query = {"dry_run": "1"} if dry_run else {}
    if expect is not None:
        query["expect"] = str(expect)
    answer = client.post("apply", body=text.ok, **query)
    print_answer(answer, json)
    return 0 if is_complete(answer) or not strict else EXIT_INCOMPLETE
