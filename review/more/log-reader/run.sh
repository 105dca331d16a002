#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt in this folder: what was
# sent, answered and run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
record=$folder/record.txt
rm -f "$record"
exec "$program" "$record"
