#!/usr/bin/env bash
# Builds the scripts of the cases of the third review, with the stand-ins in lab-3. They are programs of their
# own and use nothing of the project's code. The programs of the deploy file must have been built before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -pthread -c review/lab-3/lab.cpp -o target/review-3/lab.o
for folder in review/1[1-5]; do
    [ -e "$folder/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -pthread "$folder/case.cpp" target/review-3/lab.o \
        -o "target/review-3/case-$(basename "$folder")"
done
g++ -std=c++20 -O1 -Wall -pthread review/15/besides.cpp target/review-3/lab.o -o target/review-3/case-15-besides
