#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 plays it
# without the disruption. Run the build of deploy/system.toml and review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/3/case.py
