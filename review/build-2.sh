#!/usr/bin/env bash
# Checks the stand-ins of the second review, which are written in Python and
# use its standard library only (3.11 or later): nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
paths = [*pathlib.Path("standin-2").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]
for path in paths:
    ast.parse(path.read_text(), str(path))
CHECK
