#!/bin/sh
# Prepares the cases 6 to 10. All of their stand-ins are Python files without dependencies; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/*.py 10/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
