#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library only, so that there is nothing to compile. The cases also
# start the program that the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile \
    review/standin-3/*.py review/1[1-5]/*.py review/beyond-3/*.py
