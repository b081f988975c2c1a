#!/bin/sh
# The curve of harm against throughput of scheduling.start_interval_ms for both desks, as data and,
# where gnuplot is installed, as a picture. Usage: knob.sh PROGRAMS OUTPUT-DIRECTORY
set -eu
programs=$1
output=$2
for desk in kowalchuk tisza; do
    data="$output/0001-knob-$desk.txt"
    echo "# start_interval_ms harm_percent items_per_s (way C, mean of seeds 1 2 3, 120 virtual s)" >"$data"
    for interval in 0 2 4 6 8 10 12 16 24; do
        for seed in 1 2 3; do
            "$programs/heathsail-load" --json --desk "$desk" --way C-chosen --seconds 120 \
                --seed "$seed" --start-interval "$interval"
        done | sed 's/.*"first_token_p99_harm_percent":\([-0-9.e]*\).*"batch_items_per_s":\([0-9.e]*\).*/\1 \2/' |
            awk -v i="$interval" '{ h += $1; b += $2 } END { printf "%d %.1f %.1f\n", i, h / NR, b / NR }' >>"$data"
    done
done
command -v gnuplot >/dev/null || exit 0
gnuplot <<PLOT
set terminal svg size 640,420 font "sans,11"
set output "$output/0001-knob.svg"
set xlabel "batch items a second"
set ylabel "harm to p99 first token, percent"
set key top left
set grid
plot "$output/0001-knob-kowalchuk.txt" using 3:2:1 with linespoints title "kowalchuk (12 engines)", \\
     "$output/0001-knob-kowalchuk.txt" using 3:2:1 with labels offset 1.6,0.6 notitle, \\
     "$output/0001-knob-tisza.txt" using 3:2:1 with linespoints title "tisza (20 engines)", \\
     "$output/0001-knob-tisza.txt" using 3:2:1 with labels offset 1.6,0.6 notitle
PLOT
