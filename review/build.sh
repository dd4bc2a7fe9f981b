#!/bin/sh
# Checks that the stand-ins can be started after the build of the deploy file; they need no packages.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH=review/standins PYTHONDONTWRITEBYTECODE=1 python3 -c 'import deployment'
