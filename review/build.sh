#!/usr/bin/env bash
# The stand-ins of the scripts need the standard library of Python 3.11 only,
# and nothing to be built: this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for path in sorted(pathlib.Path('.').rglob('*.py')):
    ast.parse(path.read_text())
END
