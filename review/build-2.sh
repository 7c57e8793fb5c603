#!/bin/sh
# Builds the stand-ins of the second review. They need Python's standard library only, so that this
# compiles them, and checks that the daemon of the deploy file has been built.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/sequoiabridge ] || { echo "run the build of deploy/system.toml first"; exit 2; }
python3 -m compileall -q review/standins-2 review/[4-8]
