#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start besides the build of the deploy file. Their stand-ins are
# Python 3.11 with its standard library alone, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/release/cedargauge-platform
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - standins-2/*.py [4-8]/*.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
