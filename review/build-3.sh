#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into build-review-3/: stand-ins for
# the clients, the runners and the platform's store, which start the gateways
# of target/. Needs a C++ compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
source=review/standins-3
compile() { "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$@"; }

compile -c "$source/Net.cpp" -o "$out/Net.o"
compile -c "$source/Platform.cpp" -o "$out/Platform.o"
for name in CrashQuery CrashSameId CrashMemory PauseForgotten; do
  compile "$source/$name.cpp" "$out/Net.o" "$out/Platform.o" -o "$out/$name"
done
