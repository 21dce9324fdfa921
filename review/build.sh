#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review \
        "$source" review/stand_in.cpp -o "target/review/case-$name"
done
