"""Entry point of the gateway daemon.

Parses its single argument without the command-line library, to save memory and start time.
"""

import os
import sys

from ..config.problem import Invalid
from ..curio_import import import_curio

SETTINGS_VARIABLE = "SEQUOIABRIDGE_CONFIG"
"""Environment variable with the path of the settings file, used if no argument is given."""

USAGE = f"usage: python -m sequoiabridge.commands.gateway [SETTINGS]  (or set {SETTINGS_VARIABLE})"


def main(argv: list[str]) -> int:
    """Run the daemon and return its exit code; `argv` excludes the program name."""
    path = argv[0] if argv else os.environ.get(SETTINGS_VARIABLE, "")
    if len(argv) > 1 or not path or path.startswith("-"):
        print(USAGE, file=sys.stderr)
        return Invalid.exit_code
    import_curio()
    # Imported here because it imports curio, which `import_curio` must import first.
    from ..gateway_process import run_daemon

    return run_daemon(path)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
