#!/bin/sh
# Runs the test programs, prints their lines, closes with "N passed, N failed".
# Tests named in KNOWN-RED.txt are run and printed, but do not count as failed.
build=${1:-build}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
run() {
    "$@" >>"$log" 2>/dev/null
    status=$?
    # A program that died prints no line for the test it died in.
    [ "$status" -le 1 ] || echo "not ok $(basename "$1").died_with_status_$status" >>"$log"
}
run "$build/unit-tests"
HS_TEST_PROGRAMS="$build/fault" run "$build/fault/system-tests"
cat "$log"
known=0
if [ -f KNOWN-RED.txt ]; then
    echo "known red:" && cat KNOWN-RED.txt
    for name in $(cut -d, -f1 KNOWN-RED.txt); do
        known=$((known + $(grep -c "^not ok $name\$" "$log")))
    done
fi
passed=$(grep -c '^ok ' "$log")
failed=$(($(grep -c '^not ok ' "$log") - known))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
