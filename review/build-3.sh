#!/bin/sh
# Builds what the scripts of review/11 and later start, except for the programs of the deploy file. The stand-ins are Python, so
# this only checks that the interpreter is there and accepts them; it needs no network and writes no file.
set -eu
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/*.py <<'PYTHON'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print(f"{len(sys.argv) - 1} files checked")
PYTHON
