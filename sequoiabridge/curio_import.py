"""Imports curio without asyncio, which it needs only in programs that run both.

curio imports all of asyncio for the few methods that serve asyncio's tasks, which no daemon has. On
a VM with half a core this is a fifth of the time from the start of a process to its first answer,
and 1.3 MB of its memory.
"""

import sys
from types import ModuleType

ASYNCIO = "asyncio"


def import_curio() -> None:
    """Import curio with an empty module in asyncio's place; whoever imports asyncio later gets it
    whole.

    Nothing is done where one of the two is imported already.
    """
    if ASYNCIO in sys.modules or "curio" in sys.modules:
        return
    sys.modules[ASYNCIO] = ModuleType(ASYNCIO)
    try:
        import curio  # noqa: F401
    finally:
        del sys.modules[ASYNCIO]
