#!/bin/sh
# Prepares the cases. To be run after the build of the deploy file. The stand-ins are Python programs of the
# standard library, so nothing is compiled into a binary: this checks that they and the gateway are usable.
set -e
cd "$(dirname "$0")"
[ -x ../build/api_gateway ] || { echo "build/api_gateway is missing: run the build of the deploy file first" >&2; exit 1; }
python3 - standins/*.py */case.py <<'PYTHON'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
