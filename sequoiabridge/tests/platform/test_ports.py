"""Tests of the reservation of ports."""

import subprocess
import sys

from .ports import BLOCK_SIZE, BLOCKS, FIRST_PORT, free_port

RESERVE = "from sequoiabridge.tests.platform.ports import BLOCKS; print(BLOCKS.reserve({first}))"


def test_a_reserved_port_is_not_given_to_another_run():
    # Two soaks chose the same port before either listened; callers of one reached the other.
    port = free_port()
    first = port - (port - FIRST_PORT) % BLOCK_SIZE
    command = [sys.executable, "-c", RESERVE.format(first=first)]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "False"
    assert not BLOCKS.reserve(first)


def test_no_port_is_given_out_twice():
    count = 2 * BLOCK_SIZE + 1
    assert len({free_port() for _ in range(count)}) == count
