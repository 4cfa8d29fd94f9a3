#!/usr/bin/env bash
# Builds what the scripts of review 2 start besides the program of the deploy file: nothing is compiled. The stand-ins are
# Python of the standard library; this checks that they can be read. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for file in review/harness-2/*.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x target/release/stallmoor || { echo "build the program of the deploy file first" >&2; exit 2; }
