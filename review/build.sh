#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library only; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 3.9 or later is needed")
for source in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(source.read_text(encoding="utf-8"), str(source))
    print(f"{source}: ok")
PYTHON
