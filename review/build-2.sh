#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python, so this only checks that python3 is there and
# that every file can be compiled; it writes nothing. The gateway itself comes from the deploy file's `build`.
cd "$(dirname "$0")" || exit 2
exec python3 -B - lib-2/*.py [0-9]*/case.py <<'PYTHON'
import sys

if sys.version_info < (3, 8):
    sys.exit("python3 3.8 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
print("%d files are ready" % (len(sys.argv) - 1))
PYTHON
