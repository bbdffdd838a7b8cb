#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: store, engines and clients in one program. Needs a C++20 compiler and nlohmann-json3-dev,
# which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/rig review/support-3/main.cpp -pthread
