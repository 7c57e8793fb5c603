"""Imports curio without asyncio, which curio needs only to interact with asyncio tasks.

This shortens the start of a daemon and saves memory.
"""

import sys
from types import ModuleType

ASYNCIO = "asyncio"


def import_curio() -> None:
    """Import curio with an empty module in place of asyncio.

    Does nothing if either module is imported already. A later import of asyncio gets the real
    module.
    """
    if ASYNCIO in sys.modules or "curio" in sys.modules:
        return
    sys.modules[ASYNCIO] = ModuleType(ASYNCIO)
    try:
        import curio  # noqa: F401
    finally:
        del sys.modules[ASYNCIO]
