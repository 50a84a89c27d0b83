#!/bin/sh
# Builds the stand-ins of the cases, and the further tests, into review/bin/, with the compiler that builds the router
# and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in cases/*.cpp further/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/$name" "$source" &
done
wait
for source in cases/*.cpp further/*.cpp; do test -x "bin/$(basename "$source" .cpp)"; done
