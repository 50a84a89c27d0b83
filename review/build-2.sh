#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program for each case, in build/review-2/. Run it from anywhere
# after the build of the deploy file. It needs a C++20 compiler and nothing else.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build/review-2"
for source in "$root"/review/[6-9]/case.cpp "$root"/review/10/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-c++} -std=c++20 -O2 -pthread -I "$root/review/lab-2" "$source" -o "$root/build/review-2/case_$number"
  echo "built build/review-2/case_$number"
done
