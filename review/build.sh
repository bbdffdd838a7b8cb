#!/usr/bin/env bash
# Builds the stand-ins of all cases into build/review/. Needs g++ and nlohmann-json, which the deploy file's build needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "build/review/case$number" "$source"
done
