"""`sequoiactl version`: show the release of the tool."""

import platform
from json import dumps

from .. import __version__


def version(*, json: bool = False) -> int:
    """Show the release of this tool and of Python.

    Args:
        json: Print JSON.
    """
    found = {"sequoiabridge": __version__, "python": platform.python_version()}
    print(dumps(found) if json else f"sequoiabridge {__version__}, Python {found['python']}")
    return 0
