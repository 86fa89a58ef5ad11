#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library: there is nothing to compile. This checks
# that the interpreter is there and accepts them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/standin.py ./*/run.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
PY
