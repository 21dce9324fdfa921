#!/bin/sh
# Nothing has to be built for the scripts of the cases beside the program of the deploy file: their
# stand-ins are Python and use its standard library only. This checks that they compile.
set -e
cd "$(dirname "$0")"
for source in deployment_2.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
