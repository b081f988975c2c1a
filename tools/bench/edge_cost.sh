#!/bin/sh
# Processor time of the daemons for online requests of three sizes: the slope a token and the rest a
# request. Prints name=value lines. Usage: edge_cost.sh PROGRAMS
set -eu
programs=$1
. "$(dirname "$0")/with_fleet.sh"
sleep 3
before=$(cpu_ticks)
sleep 10
idle=$(($(cpu_ticks) - before))
echo "edge_idle_ticks_10s=$idle"
for tokens in 10 40 120; do
    before=$(cpu_ticks)
    sent=$("$programs/heathsail-load" --callers "$callers" --rate 40 --tokens "$tokens" --seconds 10 2>/dev/null | sed -n 's/online_whole=//p')
    ticks=$(($(cpu_ticks) - before - idle))
    echo "edge_tokens_${tokens}_requests=$sent"
    awk -v t="$ticks" -v n="$sent" -v k="$tokens" 'BEGIN { printf "edge_tokens_%d_cpu_ms_per_request=%.2f\n", k, t * 10 / n }'
done
