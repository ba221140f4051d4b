#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python scripts and need no build; checks that they can run.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for script in stand_ins_3.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script"
done
test -x ../target/agatespread-sidecar
