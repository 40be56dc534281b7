#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/*/run.sh. They need only g++ and the C++ library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${REVIEW_BUILD:-review/.build}
mkdir -p "$out"
for source in review/*/scenario.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/scenario-$number" "$source"
done
