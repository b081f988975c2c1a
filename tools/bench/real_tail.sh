#!/bin/sh
# Online tail with and without batch, over real processes on this machine: a fleet of 3 daemons and
# 4 drafting engines in real time. Prints name=value lines. Usage: real_tail.sh PROGRAMS [SECONDS]
set -eu
programs=$1
seconds=${2:-30}
work=$(mktemp -d)
"$programs/heathsail-fleet" --programs "$programs" --set daemon.log_level=warning >"$work/fleet.txt" 2>&1 &
fleet=$!
. "$(dirname "$0")/with_fleet.sh"
callers=http://127.0.0.1:8080,http://127.0.0.1:8081,http://127.0.0.1:8082
cpu_ticks() { for pid in $(pgrep -P "$fleet" heathsaild); do awk '{ print $14 + $15 }' "/proc/$pid/stat"; done | awk '{ s += $1 } END { print s }'; }
load() { "$programs/heathsail-load" --callers "$callers" --rate 40 --tokens 40 --busy 4 --idle 2 --seconds "$seconds" 2>/dev/null; }
ctl() { "$programs/heathsailctl" --tenant bench --endpoint /v1/completions --output json "$@"; }
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
