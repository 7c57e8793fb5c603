"""A process that imports curio for a daemon does not carry asyncio, and gets it when it asks."""

import subprocess
import sys

SCRIPT = """
import sys
from sequoiabridge.curio_import import import_curio
import_curio()
import sequoiabridge.gateway
assert "asyncio" not in sys.modules, "something imports asyncio after all"
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


def test_the_daemon_runs_without_asyncio_and_others_get_it_whole():
    done = run(SCRIPT)
    assert done.returncode == 0, done.stderr


def test_nothing_is_replaced_where_asyncio_is_used_already():
    script = (
        "import asyncio, sys; from sequoiabridge.curio_import import import_curio; import_curio();"
    )
    done = run(script + "assert sys.modules['asyncio'] is asyncio and asyncio.run")
    assert done.returncode == 0, done.stderr


def test_wrong_arguments_are_told_before_anything_is_imported():
    done = subprocess.run(
        [sys.executable, "-m", "sequoiabridge.commands.gateway", "--help"],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and done.stderr.startswith("usage:")
