#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption; fleet_has_trouble() in review/lib/fleet.c reads it.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
[ -x build/review/case3 ] && [ -x target/heathsaild ] || sh review/build.sh >/dev/null 2>&1 || exit 2
exec build/review/case3
