#!/bin/sh
# Checks that the stand-ins of the cases load; they are Python 3.11 programs without dependencies.
set -eu
cd "$(dirname "$0")"
for file in standins/deployment.py [1-9]/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
echo "the stand-ins are ready"
