#!/bin/sh
# A lower layer of src/ never includes a higher one; the product never includes stand-ins or tools.
# Prints each breach; fails when there is one.
set -eu
cd "$(dirname "$0")/.."
layers="base http tenants store feed engine fleet online config peer membership directory jobs surface routing batch scheduling placement node commands queries daemon"
rank() {
    position=0
    for layer in $layers; do
        position=$((position + 1))
        [ "$layer" = "$1" ] && echo "$position" && return
    done
    echo 0
}
breaches=0
for file in src/*/*.[ch]; do
    own=$(rank "$(echo "$file" | cut -d/ -f2)")
    for included in $(sed -n 's/^#include "\([a-z_]*\)\/.*/\1/p' "$file" | sort -u); do
        case "$included" in
        heathsail | gen | platform) continue ;;
        standin | tools | tests) ;;
        *) [ "$(rank "$included")" -le "$own" ] && continue ;;
        esac
        echo "$file includes $included/"
        breaches=$((breaches + 1))
    done
done
# Clocks are read, and waits timed, in base/clock.c alone: it says which time counts suspensions.
for found in $(grep -lE 'g_get_monotonic_time|g_get_real_time|clock_gettime|g_cond_wait_until' src/*/*.c platform/*.c); do
    [ "$found" = src/base/clock.c ] && continue
    echo "$found reads a clock"
    breaches=$((breaches + 1))
done
[ "$breaches" -eq 0 ]
