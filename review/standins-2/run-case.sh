#!/usr/bin/env bash
# Runs a case: the name of the case, and the folder for record.txt. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_name=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/platform/nutmegloom-platform
standins=target/review-2/standins-2
[ -x "$program" ] && [ -x "$standins" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "$standins" "$case_name" "$program" "$folder" \
  "$case_folder/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
