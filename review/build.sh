#!/bin/sh
# Compiles the stand-ins of the scripts, which are Python and need no library. The daemon is built
# by the `build` line of deploy/system.toml.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/standins
