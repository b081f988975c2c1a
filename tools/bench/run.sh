#!/bin/sh
# The measurements the docs quote; one name=value figure a line. Usage: run.sh PROGRAMS
set -eu
programs=$1
echo "# a large job"
"$(dirname "$0")/large_job.sh" "$programs"
echo "# processor time of the edge"
"$(dirname "$0")/edge_cost.sh" "$programs"
echo "# online tail over real processes"
"$(dirname "$0")/real_tail.sh" "$programs"
echo "# processor time by the number of engines"
"$programs/heathsail-choice" 2>/dev/null
