#!/usr/bin/env bash
# The stand-ins of the scripts are written in Python with its standard library alone: nothing is compiled.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in glob.glob("standins/*.py") + glob.glob("[123]/*.py"):
    ast.parse(open(path).read(), path)
'
test -x ../target/release/stallmoor || { echo "build the program first (deploy/system.toml)" >&2; exit 1; }
