#!/bin/sh
# The scripts need no build: their stand-ins are review/world3.py, which uses
# the standard library only. This checks that it can be read.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "review"); import world3'
