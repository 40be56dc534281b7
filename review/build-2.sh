#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. They need only g++ and the C++ library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${REVIEW_BUILD:-target/review-2}
mkdir -p "$out"
for number in 6 7 8 9 10; do
    if [[ -f review/$number/standin.cpp ]]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "review/$number/standin.cpp"
    fi
done
