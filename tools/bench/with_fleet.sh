# Sourced by benches: starts a fleet of $programs with the daemons' settings in $fleet_settings, waits
# until it serves, and stops it at the end. Gives $fleet (its pid), $work (a scratch directory),
# $callers, cpu_ticks and ctl.
work=$(mktemp -d)
# shellcheck disable=SC2086
"$programs/heathsail-fleet" --programs "$programs" --set daemon.log_level=warning ${fleet_settings:-} >"$work/fleet.txt" 2>&1 &
fleet=$!
callers=http://127.0.0.1:8080,http://127.0.0.1:8081,http://127.0.0.1:8082
# Processor time of all daemons so far.
cpu_ticks() { for pid in $(pgrep -P "$fleet" heathsaild); do awk '{ print $14 + $15 }' "/proc/$pid/stat"; done | awk '{ s += $1 } END { print s }'; }
ctl() { "$programs/heathsailctl" --tenant bench --endpoint /v1/completions --output json "$@"; }
finish() {
    kill "$fleet" 2>/dev/null || true
    wait "$fleet" 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT
tries=0
until grep -q '^fleet ready' "$work/fleet.txt"; do
    tries=$((tries + 1))
    if [ "$tries" -ge 300 ]; then
        cat "$work/fleet.txt" >&2
        exit 1
    fi
    sleep 0.1
done
