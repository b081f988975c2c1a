#!/bin/sh
# TROUBLE=0: the same without the disruption, which must pass.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. See claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
driver=build/review-2/$(basename "$folder")
[ -x "$driver" ] && [ -x target/heathsaild ] || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
"$driver" "$folder/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; exit 2' TERM INT
wait "$pid"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
