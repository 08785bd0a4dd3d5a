#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out/objects"
compile=(g++ -std=c++17 -O1 -pthread)

printf '%s\n' review/standins/*.cpp |
  xargs -P "$(nproc)" -I{} sh -c \
    '"$@" -c {} -o "'"$out"'/objects/$(basename {} .cpp).o"' sh "${compile[@]}"
for case in review/[0-9]*/; do
  "${compile[@]}" -o "$out/case$(basename "$case")" "$case/Main.cpp" \
    "$out"/objects/*.o
done
