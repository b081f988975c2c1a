# Sourced by benches that started a fleet as $fleet with its output in $work/fleet.txt: waits until
# it serves, and stops it at the end.
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
