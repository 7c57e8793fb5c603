"""`sequoiactl apply`: make the fleet's configuration what a file says."""

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
    """Make the fleet's configuration what a file says, by the smallest change.

    Args:
        file: Fleet configuration; it is checked here first.
        admin: IP:port of a daemon's admin port.
        expect: Version that must be in force; fails with 3 if another came first.
        dry_run: Only say what would change.
        token_file: File with the operator's token; else SEQUOIA_TOKEN is used.
        timeout: Seconds that the answer may take.
        json: Print JSON.
        strict: Send nothing if the file has warnings; fail if a VM was not heard.
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
