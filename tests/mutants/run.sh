#!/bin/sh
# Takes one mechanism out at a time, in a scratch copy, and runs the unit tests (and, where named,
# one system suite): each mutant must be found by a failing test. Prints one line a mutant. A suite
# that fails on the unmutated tree finds nothing, so each named suite is run there first.
# usage: run.sh [NAME-PATTERN]   only mutants whose name matches the shell pattern
set -u
pattern=${1:-*}
root=$(cd "$(dirname "$0")/../.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
found=0
missed=0
mkdir "$scratch/base"
(cd "$root" && git ls-files -z | xargs -0 cp --parents -t "$scratch/base")
(cd "$scratch/base" && make -s -j8 build/unit-tests >/dev/null 2>&1) || {
    echo "the unmutated tree does not build"
    exit 1
}
tab=$(printf '\t')

# Runs one system suite of the tree in the current directory.
run_suite() {
    make -s -j8 BUILD=build/fault EXTRA_CPPFLAGS=-DHS_FAULT_POINTS EXTRA_CFLAGS=-Wno-error \
        all build/fault/system-tests >/dev/null 2>&1
    HS_TEST_PROGRAMS=build/fault timeout 120 build/fault/system-tests "$1" 2>/dev/null
}

# Fails unless the named suite passes whole on the unmutated tree; asked once a suite.
baseline_passes() {
    [ -e "$scratch/passed-$1" ] && return 0
    cd "$scratch/base" || return 1
    output=$(run_suite "$1")
    echo "$output" | grep -q '^ok ' || return 1
    echo "$output" | grep -q '^not ok ' && return 1
    touch "$scratch/passed-$1"
}

while IFS="$tab" read -r name file expression suite; do
    case "$name" in '' | '#'*) continue ;; esac
    # shellcheck disable=SC2254
    case "$name" in $pattern) ;; *) continue ;; esac
    if [ -n "$suite" ] && ! baseline_passes "$suite"; then
        echo "$name DID-NOT-RUN (suite $suite fails without the mutant)"
        missed=$((missed + 1))
        continue
    fi
    rm -rf "$scratch/mutant" && cp -r "$scratch/base" "$scratch/mutant"
    cd "$scratch/mutant" || exit 1
    sed -i "$expression" "$file"
    if cmp -s "$file" "$scratch/base/$file"; then
        echo "$name NOT-APPLIED ($file)"
        missed=$((missed + 1))
        continue
    fi
    if [ -z "$suite" ]; then
        make -s -j8 EXTRA_CFLAGS=-Wno-error build/unit-tests >/dev/null 2>&1
        output=$(./build/unit-tests 2>/dev/null)
    else
        output=$(run_suite "$suite")
    fi
    tests=$(echo "$output" | sed -n 's/^not ok //p' | head -3 | tr '\n' ' ')
    if [ -n "$tests" ]; then
        found=$((found + 1))
        echo "$name found-by $tests"
    elif [ -z "$(echo "$output" | grep '^ok ')" ]; then
        missed=$((missed + 1))
        echo "$name DID-NOT-RUN"
    else
        missed=$((missed + 1))
        echo "$name MISSED"
    fi
done <"$root/tests/mutants/list.txt"
echo "mutants found=$found missed=$missed"
[ "$missed" -eq 0 ]
