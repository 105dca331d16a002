#!/usr/bin/env bash
# Runs a case: the name of the case, and the file of its record. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_name=$1
record=$(realpath "$2")
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/platform/nutmegloom-platform
standins=target/review-2/standins-2
for needed in "$program" "$standins"; do
  [ -x "$needed" ] && continue
  echo "could not run: $(basename "$needed") is not built" > "$record"
  exit 2
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "$standins" "$case_name" "$program" "$folder" "$record"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
