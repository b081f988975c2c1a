#!/bin/sh
# Model check of the batch protocols and of variants with one rule removed, which must be found wrong.
# Prints one line a run: name, verdict, states, seconds. Fails when a verdict is not the expected one.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "${1:-$here/out}"
out=$(cd "${1:-$here/out}" && pwd)
failed=0

# run NAME PROPERTY EXPECTED MACRO: of the model named by $model
run() {
    directory="$out/$1"
    rm -rf "$directory" && mkdir -p "$directory" && cd "$directory"
    spin -a ${4:+-D$4} "$here/$model" >spin.txt 2>&1
    cc -O2 -DNFAIR=4 -DMEMLIM=2048 -o pan pan.c 2>cc.txt
    started=$(date +%s.%N)
    ./pan -a -f -m100000 -N "$2" >pan.txt 2>&1 || true
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

model=core.pml
run core-safety always_safe holds ""
run core-liveness every_item_completes holds ""
run no-epoch-check always_safe wrong NO_EPOCH_CHECK
run no-intent-readback always_safe wrong NO_INTENT_READBACK
run no-duplicate-drop always_safe wrong NO_DUPLICATE_DROP
run cancel-ignored always_safe wrong CANCEL_IGNORED
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
model=quota.pml
run quota-safety limit_holds holds ""
run no-reservations limit_holds wrong NO_RESERVATIONS
run releases-unknown limit_holds wrong RELEASES_UNKNOWN
run drops-early limit_holds wrong DROPS_EARLY
exit $failed
