#!/bin/bash
# Builds the programs of the cases in review/, with the packages of
# deploy/system.toml alone.
set -euo pipefail

cd "$(dirname "$0")"
mkdir -p out

Flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Istand_ins)
read -r -a Json <<<"$(pkg-config --cflags --libs jsoncpp)"

for Source in stand_ins/*.cpp; do
  Name=$(basename "$Source" .cpp)
  [ "$Name" = Harness ] && continue
  g++ "${Flags[@]}" -o "out/$Name" "$Source" stand_ins/Harness.cpp "${Json[@]}" &
done
for Job in $(jobs -p); do
  wait "$Job"
done
