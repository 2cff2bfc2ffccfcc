#!/bin/sh
# The stand-ins of the scripts are Python and need no build. Checks that they parse and that the program of the deploy file exists.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.py review/*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
test -x target/filbertmount-edge || { echo "build deploy/system.toml first"; exit 1; }
