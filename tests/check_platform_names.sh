#!/bin/sh
# Names of the users' platform (headers, paths, topics, calls, fields) stand in platform/ alone.
# Words that are the product's own interface too (docs/api.md) are left out. Fails on a breach.
set -eu
cd "$(dirname "$0")/.."
own="Heathsail-Timeout-Ms Last-Event-Id /ready config jobs bodies owners"
breaches=0
names=$(sed -n 's/^#define [A-Z_]* "\(.*\)"$/\1/p' platform/names.h)
fields=$(grep -ohE '"[a-z]+(-[a-z]+)+"' platform/*_codec.c | tr -d '"' | sort -u)
for name in $names $fields; do
    case " $own " in *" $name "*) continue ;; esac
    if grep -rnF "\"$name" src include >/dev/null; then
        grep -rnF "\"$name" src include
        breaches=$((breaches + 1))
    fi
done
[ "$breaches" -eq 0 ]
