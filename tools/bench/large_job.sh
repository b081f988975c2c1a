#!/bin/sh
# A job of ITEMS items through a small fleet: time, and the daemons' highest memory.
# Prints name=value lines. Usage: large_job.sh PROGRAMS [ITEMS]
set -eu
programs=$1
items=${2:-130000}
fleet_settings="--set scheduling.start_interval_ms=0 --set scheduling.max_batch_per_engine=64"
. "$(dirname "$0")/with_fleet.sh"
awk -v n="$items" 'BEGIN { for (i = 0; i < n; i++)
    printf "{\"custom_id\":\"c%d\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{\"model\":\"drafting-7b\",\"max_tokens\":1,\"prompt\":\"line %d of a large requisition\"}}\n", i, i }' >"$work/lines.jsonl"
started=$(date +%s)
id=$(ctl batch submit "$work/lines.jsonl" | sed -n 's/.*"id":"\(batch_[^"]*\)".*/\1/p')
echo "large_job_items=$items"
echo "large_job_accept_seconds=$(($(date +%s) - started))"
for wait in $(seq 1 600); do
    status=$(ctl batch status "$id")
    case "$status" in *'"status":"completed"'*) break ;; esac
    [ $((wait % 15)) -eq 0 ] && echo "$status" | sed -n 's/.*"completed":\([0-9]*\).*/progress \1/p' >&2
    sleep 1
done
echo "large_job_run_seconds=$(($(date +%s) - started))"
echo "large_job_results=$(ctl --caller http://127.0.0.1:8082 batch results "$id" | wc -l)"
for pid in $(pgrep -P "$fleet" heathsaild); do
    awk '/VmHWM/ { printf "large_job_daemon_peak_mb=%.1f\n", $2 / 1024 }' "/proc/$pid/status"
done
