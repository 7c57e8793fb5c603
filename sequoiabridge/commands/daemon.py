"""Entry point of `sequoiabridged`, the daemon."""

import sys
from pathlib import Path

import curio
import defopt

from ..config.settings import Settings
from ..exceptions import ConfigurationError, SequoiaError
from ..logs import configure_logging

EXIT_BAD_INPUT = ConfigurationError.exit_code


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and return its exit code; `argv` excludes the program name."""
    return defopt.run(
        run,
        argv=sys.argv[1:] if argv is None else argv,
        no_negated_flags=True,
        argparse_kwargs={"prog": "sequoiabridged"},
    )


def run(settings: Path, *, check: bool = False) -> int:
    """Run a daemon of the load balancer until it is stopped.

    Args:
        settings: INI file with this VM's settings.
        check: Check the file and exit.
    """
    loaded = Settings.load(settings)
    if loaded.is_error():
        for problem in loaded.error:
            print(problem.text, file=sys.stderr)
        return EXIT_BAD_INPUT
    if check:
        return 0
    configure_logging(loaded.ok.log.level)
    try:
        return start(loaded.ok)
    except SequoiaError as error:
        print(f"sequoiabridged: {' '.join(str(error).split())}", file=sys.stderr)
        return error.exit_code


def start(settings: Settings) -> int:
    """Run the daemon on curio's kernel until a planned stop; return its exit code."""
    # Imported here so that `--check` does not load the whole daemon.
    from ..daemon import Daemon
    from ..selector import LazySelector

    return curio.run(Daemon(settings).run, selector=LazySelector()) or 0


if __name__ == "__main__":
    sys.exit(main())
