#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs without dependencies, so this
# only checks that an interpreter can read them; the cases start no other stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins_2.py [6-9]/case.py 10/case.py <<'P'
import ast, os, sys
assert sys.version_info >= (3, 8), 'Python 3.8 or later is needed'
for path in sys.argv[1:]:
    if os.path.exists(path):
        ast.parse(open(path).read(), path)
        print(path, 'ok')
P
