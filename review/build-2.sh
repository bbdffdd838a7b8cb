#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. Run it after the build of the deploy file, whose packages it needs.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
flags="-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread"
for source in review/support-2/*.cpp; do
    ${CXX:-g++} $flags -o "target/review-2/$(basename "$source" .cpp)" "$source" &
done
wait
for source in review/support-2/*.cpp; do
    test -x "target/review-2/$(basename "$source" .cpp)"
done
