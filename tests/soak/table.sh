#!/bin/sh
# table.sh PROGRAMS SEEDS FIRST SECONDS AT_ONCE [OPTION...]: soaks of SEEDS seeds from FIRST on, AT_ONCE of them
# at a time, and a table of what they saw. Output and daemons' logs of a seed that found something are kept in
# PROGRAMS/soak/SEED. Exit status 1 when any seed found something or did not end.
set -u
programs=$1 seeds=$2 first=$3 seconds=$4 at_once=$5
shift 5
kept=$programs/soak
mkdir -p "$kept"
run='seed=$1 programs=$2 seconds=$3 kept=$4
shift 4
logs=$kept/$seed-$(date -u +%Y%m%dT%H%M%S)
mkdir "$logs"
"$programs/heathsail-soak" --programs "$programs" --seconds "$seconds" --seed "$seed" --logs "$logs" "$@" \
    >"$logs/output" 2>&1
status=$?
grep "^verdict " "$logs/output" >"$kept/$seed.verdict" ||
    echo "verdict seed=$seed violations=not-ended-status-$status" >"$kept/$seed.verdict"
echo "seed $seed: $(sed "s/.* violations=//" "$kept/$seed.verdict") violations" >&2
grep -h " KNOWN-RED " "$logs/output" >&2
[ "$status" -ne 0 ] || rm -rf "$logs"'
last=$((first + seeds - 1))
seq "$first" "$last" | xargs -P "$at_once" -I SEED sh -c "$run" soak SEED "$programs" "$seconds" "$kept" "$@"
for seed in $(seq "$first" "$last"); do cat "$kept/$seed.verdict"; done | awk '
    BEGIN { columns = split("seed requests jobs texts text_joints stream_joints sharing sharing_held taken_up continued ends_judged jobs_ended late_of_stopped late_on_links last_send_ms stops in_stops_judged cut_excused cut_in_stops faults violations", name, " ") }
    function row(values, column, width) {
        for (column = 1; column <= columns; column++) {
            width = length(name[column]) > 10 ? length(name[column]) : 10
            printf("%s%" width "s", (column == 1 ? "" : "  "), values[name[column]])
        }
        printf "\n"
    }
    NR == 1 { for (column = 1; column <= columns; column++) title[name[column]] = name[column]; row(title) }
    {
        delete value
        for (field = 2; field <= NF; field++) { split($field, pair, "="); value[pair[1]] = pair[2]; total[pair[1]] += pair[2] }
        row(value)
        failed += (value["violations"] != "0")
    }
    END { total["seed"] = "total"; row(total); printf("%d of %d seeds found something\n", failed, NR); exit (failed == 0 ? 0 : 1) }'
status=$?
for seed in $(seq "$first" "$last"); do rm -f "$kept/$seed.verdict"; done
exit $status
