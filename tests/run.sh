#!/bin/sh
# Runs the test programs, prints each test's line as it ends, closes with "N passed, N failed".
# Tests named in KNOWN-RED.txt are run and printed, but do not count as failed. The other failed tests are printed
# once more before the last line, under "failed tests:".
#
# Suites share nothing but the machine (ports are leased), so some run side by side: the unit tests, the
# OpenAI surface, the fleet surface, what crashes engines, items whose engines crash, and an upgrade from the
# landed build, which is built first; a checkout without its commit counts that suite as skipped. Fleets of
# 24 daemons run alone, as their tests bound how soon all of them know, and so do tests of how soon a process ends. What the daemons of all suites wrote is
# in test-output.log of the build's folder: a failed test is traced from it.
build=${1:-build}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
system="$build/fault/system-tests"
# A program that died prints no line for the test it died in.
run() {
    "$@" 2>/dev/null
    status=$?
    [ "$status" -le 1 ] || echo "not ok $(basename "$1").died_with_status_$status"
}
# The suites that match a pattern; each suite is in one lane, a new one in that of the fleet surface.
lane() {
    for suite in $("$system" --list); do
        case "$suite" in
        *_large | *_stop_lengths) found=alone ;;
        fleet_crash* | fleet_silence | fleet_waking | fleet_job_end*) found=crashes ;;
        fleet_item_*) found=losses ;;
        fleet_upgrade*) found=upgrade ;;
        fleet_*) found=fleet ;;
        *) found=openai ;;
        esac
        [ "$found" = "$1" ] && printf '%s ' "$suite"
    done
}
export HS_TEST_PROGRAMS="$build/fault"
export HS_PAST_PROGRAM="$build/past/heathsaild"
tests/upgrade/build_past.sh "$build/past"
past=$?
skipped=
[ "$past" -eq 77 ] && skipped=", 1 skipped"
{
    [ "$past" -eq 0 ] || [ "$past" -eq 77 ] || echo "not ok fleet_upgrade.the_past_build"
    run "$build/unit-tests" &
    for name in openai fleet crashes losses $([ "$past" -eq 0 ] && echo upgrade); do
        # shellcheck disable=SC2046
        run "$system" $(lane "$name") &
    done
    wait
    # shellcheck disable=SC2046
    run "$system" $(lane alone)
} | tee "$build/test-output.log" | grep --line-buffered -E '^(ok|not ok|    tests)' | tee "$log"
[ -f KNOWN-RED.txt ] && echo "known red:" && cat KNOWN-RED.txt
unlisted=$(tests/only_known_red.sh "$log" 1)
[ -z "$unlisted" ] || printf 'failed tests:\n%s\n' "$unlisted"
passed=$(grep -c '^ok ' "$log")
failed=$(printf '%s\n' "$unlisted" | grep -c '^not ok ')
echo "$passed passed, $failed failed$skipped"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
