"""Entry of the daemon on the users' platform.

It takes one path and no options, so it reads the arguments itself: the command line library takes
9 MB and 0.4 s of each start, on VMs where both are scarce.
"""

import os
import sys

from ..config.problem import Invalid
from ..curio_import import import_curio

SETTINGS_VARIABLE = "SEQUOIABRIDGE_CONFIG"
"""Environment variable that names the settings file when no argument does."""

USAGE = f"usage: python -m sequoiabridge.commands.gateway [SETTINGS]  (or set {SETTINGS_VARIABLE})"


def main(argv: list[str]) -> int:
    """Run the daemon and return its exit code; `argv` is what follows the program's name."""
    path = argv[0] if argv else os.environ.get(SETTINGS_VARIABLE, "")
    if len(argv) > 1 or not path or path.startswith("-"):
        print(USAGE, file=sys.stderr)
        return Invalid.exit_code
    import_curio()
    # Only now: it imports all that the daemon consists of, curio first.
    from ..gateway import run_daemon

    return run_daemon(path)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
