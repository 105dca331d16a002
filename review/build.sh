#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. Needs
# the packages of deploy/system.toml and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Ireview/standins)
pids=()
for source in review/standins/*.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for source in review/[1-5]/case.cpp review/more/*/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
standins=()
for source in review/standins/*.cpp; do
  standins+=("$out/$(basename "$source" .cpp).o")
done
for object in "$out"/case-*.o; do
  [ -e "$object" ] || continue
  g++ "$object" "${standins[@]}" -o "${object%.o}" -pthread
done
