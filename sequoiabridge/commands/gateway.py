"""Entry of the daemon on the users' platform.

It takes one path and no options, so it reads the arguments itself: the command line library takes
9 MB and 0.4 s of each start, on VMs where both are scarce.
"""

import os
import sys

import curio

from ..config.gateway_settings import GatewaySettings
from ..config.problem import Invalid
from ..exceptions import SequoiaError
from ..gateway import Gateway
from ..relay.decisions import STDOUT
from ..selector import KeptSelector

SETTINGS_VARIABLE = "SEQUOIABRIDGE_CONFIG"
"""Environment variable that names the settings file when no argument does."""

USAGE = f"usage: python -m sequoiabridge.commands.gateway [SETTINGS]  (or set {SETTINGS_VARIABLE})"


def main(argv: list[str]) -> int:
    """Run the daemon and return its exit code; `argv` is what follows the program's name."""
    path = argv[0] if argv else os.environ.get(SETTINGS_VARIABLE, "")
    if len(argv) > 1 or not path or path.startswith("-"):
        print(USAGE, file=sys.stderr)
        return Invalid.exit_code
    try:
        settings = GatewaySettings.load(path)
        os.set_blocking(STDOUT, False)
        gateway = Gateway(settings)
        gateway.catch_signals()
        return curio.run(gateway.run, selector=KeptSelector()) or 0
    except Invalid as error:
        for problem in error.problems:
            print(problem.text, file=sys.stderr)
        return error.exit_code
    except SequoiaError as error:
        print(f"sequoiabridge: {' '.join(str(error).split())}", file=sys.stderr)
        return error.exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
