#!/bin/sh
# Online tail with and without batch, over real processes on this machine: a fleet of 3 daemons and
# 4 drafting engines in real time. Prints name=value lines. Usage: real_tail.sh PROGRAMS [SECONDS]
set -eu
programs=$1
seconds=${2:-30}
. "$(dirname "$0")/with_fleet.sh"
load() { "$programs/heathsail-load" --callers "$callers" --rate 40 --tokens 40 --busy 4 --idle 2 --seconds "$seconds" 2>/dev/null; }
completed() { ctl batch status "$1" | sed -n 's/.*"completed":\([0-9]*\).*/\1/p'; }
before=$(cpu_ticks)
load | sed 's/^/alone_/'
echo "alone_daemon_cpu_ticks=$(($(cpu_ticks) - before))"
awk 'BEGIN { for (i = 0; i < 60000; i++)
    printf "{\"custom_id\":\"c%d\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{\"model\":\"drafting-7b\",\"max_tokens\":40,\"prompt\":\"line %d of a requisition\"}}\n", i, i }' >"$work/lines.jsonl"
id=$(ctl batch submit "$work/lines.jsonl" | sed -n 's/.*"id":"\(batch_[^"]*\)".*/\1/p')
sleep 2
first=$(completed "$id")
load | sed 's/^/with_batch_/'
last=$(completed "$id")
echo "with_batch_items_per_s=$(((last - first) / seconds))"
sleep 1
first=$(completed "$id")
sleep 10
echo "batch_alone_items_per_s=$((($(completed "$id") - first) / 10))"
