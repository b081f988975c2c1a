#!/bin/sh
# Model check of the batch protocols and of variants with one rule removed, which must be found wrong.
# Prints one line a run: name, verdict, states, seconds. Fails when a verdict is not the expected one.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "${1:-$here/out}"
out=$(cd "${1:-$here/out}" && pwd)
failed=0
find "$out" -name pan -type f -delete

# run NAME PROPERTY EXPECTED MACRO: of the model named by $model. Runs of one model with the same macros
# share a directory and are compiled once.
run() {
    directory="$out/$(echo "${model%.pml} $4" | tr -cs 'A-Za-z0-9\n' -)"
    if [ ! -e "$directory/pan" ]; then
        mkdir -p "$directory" && cd "$directory"
        spin -a ${4:+-D$4} "$here/$model" >spin.txt 2>&1
        cc -O1 -DNFAIR=5 -DMEMLIM=2048 -o pan pan.c 2>cc.txt
    fi
    mkdir -p "$directory/$1" && cd "$directory/$1"
    started=$(date +%s.%N)
    ../pan -a -f -m100000 -N "$2" >pan.txt 2>&1 || true
    seconds=$(awk -v from="$started" -v to="$(date +%s.%N)" 'BEGIN { printf "%.2f", to - from }')
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.txt)
    states=$(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' pan.txt)
    # A search that was cut short proves nothing.
    verdict=wrong
    [ "${errors:-1}" = 0 ] && verdict=holds
    grep -q "max search depth too small\|out of memory\|Search not completed" pan.txt && [ "$verdict" = holds ] && verdict=incomplete
    mark=ok
    [ "$verdict" = "$3" ] || { mark=UNEXPECTED; failed=1; }
    echo "$1 property=$2 verdict=$verdict expected=$3 states=${states:-0} seconds=$seconds $mark"
}

# Two groups are checked at a time.
check_exchanges() {
    model=joints.pml
    run joints-safety always_safe holds ""
    run no-joint-check joints_right wrong NO_JOINT_CHECK
    run joints-checked-alone joints_right holds "CONNECTION_AGAIN -DTRIES_MOST=3"
    run connection-again-promise promises_kept wrong CONNECTION_AGAIN
    run connection-again-dead dead_rightly wrong CONNECTION_AGAIN
    run connection-again-end whole_at_end wrong CONNECTION_AGAIN
    run connections-alone always_safe holds "NO_JOINT_CHECK -DHEADERS_ARRIVE"
    run run-remembers promises_kept wrong RUN_REMEMBERS
    run latest-id-only promises_kept wrong LATEST_ID_ONLY
    run neither-rule joints_right wrong "NO_JOINT_CHECK -DCONNECTION_AGAIN -DHEADERS_ARRIVE -DCOPIES_ONLY -DRESTARTS_MOST=0"
    model=limits.pml
    run limits within_limit holds ""
    run new-home-full within_limit wrong NEW_HOME_FULL
    run whole-limit within_limit wrong WHOLE_LIMIT
    run sleeper-keeps within_limit wrong SLEEPER_KEEPS
    run moved-keeps within_limit wrong MOVED_KEEPS
    run part-keeps within_limit wrong PART_KEEPS
    model=warmup.pml
    run warmup within_rate holds ""
    run no-settle within_rate wrong NO_SETTLE
    run sleeper-grants within_rate wrong SLEEPER_GRANTS
    run whole-share within_rate wrong WHOLE_SHARE
    run no-expiry within_rate wrong NO_EXPIRY
    run unknown-sends within_rate wrong UNKNOWN_SENDS
    model=arbiters.pml
    run arbiters-losses within_slots_at_last holds CHANGES_MOST=0
    run arbiters-counts ledger_true_at_last holds CHANGES_MOST=0
    run arbiters-nobody-waits nobody_waits holds CHANGES_MOST=0
    run arbiters-change within_slots_at_last holds LOSSES_MOST=0
    run arbiters-come-back ledger_true_at_last holds "STARTS_MOST=1 -DCHANGES_MOST=2"
    run arbiters-disagree within_both_at_last holds "DISAGREE -DSTARTS_MOST=3 -DLOSSES_MOST=0"
    run arbiters-disagree-once within_slots_at_last wrong "DISAGREE -DSTARTS_MOST=3 -DLOSSES_MOST=0"
    run no-repeat within_slots_at_last wrong "NO_REPEAT -DCHANGES_MOST=0"
    run leaving-for-good within_slots_at_last wrong "LEAVING_FOR_GOOD -DCHANGES_MOST=0"
    run uses-kept ledger_true_at_last wrong "USES_KEPT -DSTARTS_MOST=1 -DCHANGES_MOST=2"
    run waits-for-arbiter nobody_waits wrong "WAITS_FOR_ARBITER -DCHANGES_MOST=0"
}

check_logs() {
    model=jobs.pml
    run jobs-safety always_safe holds ""
    run jobs-liveness job_ends holds ""
    run unknown-is-refused always_safe wrong UNKNOWN_IS_REFUSED
    run forgets-first-try always_safe wrong FORGETS_FIRST_TRY
    run no-from-check always_safe wrong NO_FROM_CHECK
    run later-result-counts always_safe wrong LATER_RESULT_COUNTS
    run writers-safety always_safe holds WRITERS
    run no-writer-check always_safe wrong "WRITERS -DNO_WRITER_CHECK"
    run no-catch-up always_safe wrong NO_CATCH_UP
    model=core.pml
    run core-safety always_safe holds ""
    run core-liveness every_item_completes holds ""
    run no-epoch-check always_safe wrong NO_EPOCH_CHECK
    run no-intent-readback always_safe wrong NO_INTENT_READBACK
    run no-duplicate-drop always_safe wrong NO_DUPLICATE_DROP
    run cancel-ignored always_safe wrong CANCEL_IGNORED
    model=quota.pml
    run quota-safety limit_holds holds ""
    run no-reservations limit_holds wrong NO_RESERVATIONS
    run releases-unknown limit_holds wrong RELEASES_UNKNOWN
    run drops-early limit_holds wrong DROPS_EARLY
}

(check_exchanges; exit $failed) >"$out/exchanges.txt" &
exchanges=$!
check_logs
wait $exchanges || failed=1
cat "$out/exchanges.txt"
exit $failed
