#!/usr/bin/env bash
# Builds the stand-ins and the callers of the cases 6 to 10 into
# target/review-2. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() { # compile NAME SOURCE
  c++ -std=c++17 -O1 -Wall -Wextra -Werror -pthread \
    -o "$out/$1" "$2" review/standins-2/Http.cpp
}
compile ports review/standins-2/Ports.cpp
compile store review/standins-2/Store.cpp
compile runner review/standins-2/Runner.cpp
for source in review/{6,7,8,9,10}/*.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$source" .cpp)
  compile "$(basename "$(dirname "$source")")-${name,,}" "$source"
done
