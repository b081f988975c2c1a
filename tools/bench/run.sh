#!/bin/sh
# The measurements the docs quote; one name=value figure a line. Usage: run.sh PROGRAMS
set -eu
programs=$1
echo "# admission, virtual time (docs/design/0001-admission.md)"
for desk in kowalchuk tisza; do
    "$programs/heathsail-load" --desk "$desk" --seconds 120 | awk -v desk="$desk" 'NR > 2 {
        printf "%s_%s_first_token_p99_harm=%s\n%s_%s_gap_p99_harm=%s\n%s_%s_items_per_s=%s\n", desk, $1, $4, desk, $1, $7, desk, $1, $8 }'
done
echo "# hollow daemons (docs/CAPACITY.md)"
"$programs/heathsail-platform" --port 8070 &
platform=$!
trap 'kill "$platform" 2>/dev/null || true' EXIT
sleep 0.5
for size in 45 90 180 360; do
    "$programs/heathsail-hollow" --daemons "$size" | sed "s/^/hollow_${size}_/"
done
echo "# a zone's daemons fall silent together"
"$programs/heathsail-hollow" --daemons 360 --failures 72 --changes 5 | sed "s/^/hollow_zone_/"
kill "$platform"
wait "$platform" 2>/dev/null || true
echo "# a large job"
"$(dirname "$0")/large_job.sh" "$programs"
echo "# processor time of the edge"
"$(dirname "$0")/edge_cost.sh" "$programs"
echo "# online tail over real processes"
"$(dirname "$0")/real_tail.sh" "$programs"
