"""A daemon does not import asyncio, and a later import of asyncio gets the real module."""

import subprocess
import sys

SCRIPT = """
import sys
from sequoiabridge.curio_import import import_curio
import_curio()
import sequoiabridge.gateway
assert "asyncio" not in sys.modules, "some module imports asyncio"
import curio

async def main():
    event = curio.UniversalEvent()
    await curio.spawn(event.set(), daemon=True)
    await event.wait()

curio.run(main)
import asyncio
assert asyncio.run(asyncio.sleep(0, "whole")) == "whole"
"""


def run(script):
    return subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)


def test_daemon_runs_without_asyncio_and_a_later_import_gets_the_real_module():
    done = run(SCRIPT)
    assert done.returncode == 0, done.stderr


def test_asyncio_is_not_replaced_if_it_is_imported_already():
    script = (
        "import asyncio, sys; from sequoiabridge.curio_import import import_curio; import_curio();"
    )
    done = run(script + "assert sys.modules['asyncio'] is asyncio and asyncio.run")
    assert done.returncode == 0, done.stderr


def test_invalid_arguments_print_the_usage():
    done = subprocess.run(
        [sys.executable, "-m", "sequoiabridge.commands.gateway", "--help"],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and done.stderr.startswith("usage:")
