"""Entry point of `sequoiactl`, the command-line tool for operators.

Exit codes: 0 success; 1 failure, or an unanswered VM with `--strict`; 2 invalid input; 3 conflict
with another operator's change; 4 the store or the daemon does not answer; 5 refused.
"""

import json
import os
import sys

import defopt

from ..exceptions import SequoiaError
from .apply import apply
from .ask import ask
from .check import check
from .dump import dump
from .experiment import experiment
from .explain import explain
from .version import version

VERBS = [check, dump, ask, apply, explain, experiment, version]

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def main(argv: list[str] | None = None) -> int:
    """Run a verb and return the exit code; `argv` excludes the program name."""
    argv = sys.argv[1:] if argv is None else argv
    try:
        code = defopt.run(
            VERBS,
            argv=argv,
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "sequoiactl"},
        )
        sys.stdout.flush()
        return code
    except SequoiaError as error:
        return report(error, "--json" in argv)
    except BrokenPipeError:
        # The reader closed the pipe: redirect stdout so that the flush at exit does not fail too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def report(error: SequoiaError, as_json: bool) -> int:
    """Print an error in one line, and as JSON if requested; return its exit code."""
    message = " ".join(str(error).split())
    if as_json:
        kind = type(error).__name__
        print(json.dumps({"error": {"kind": kind, "message": message, "exit": error.exit_code}}))
    print(f"sequoiactl: {message}", file=sys.stderr)
    return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
