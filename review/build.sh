#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[1-5]/scenario.cpp; do
    number=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins/*.cpp "$scenario" -o "target/review/case-$number" &
done
for job in $(jobs -p); do
    wait "$job"
done
