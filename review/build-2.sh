#!/usr/bin/env bash
# Builds the programs of the second review's cases, with the compiler alone, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for scenario in review/*/scenario.cpp; do
    case=$(basename "$(dirname "$scenario")")
    [ "$case" -ge 6 ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$case" \
        "$scenario" review/standins-2/standins.cpp &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
