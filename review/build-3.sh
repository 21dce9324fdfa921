#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use the standard library alone, so there
# is nothing to compile: this checks that the interpreter reads all of them. The program under test is built by the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in deployment_3.py 1[1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
