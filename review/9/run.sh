#!/usr/bin/env bash
# Shows the case of claim.txt; TROUBLE=0 leaves the disruption out. Writes
# record.txt in this folder: what was sent, answered and run. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
echo "not run to the end" > "$record"
exec "$here/../standins-2/run-case.sh" restored-leadership "$record"
