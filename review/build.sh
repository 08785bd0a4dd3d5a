#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for case in review/[0-9]*/; do
  [ -e "$case/Main.cpp" ] || continue
  g++ -std=c++17 -O1 -pthread -o "$out/case$(basename "$case")" \
    "$case/Main.cpp" review/standins/*.cpp
done
