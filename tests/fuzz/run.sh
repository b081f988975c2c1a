#!/bin/sh
# run.sh FOLDER LIMIT TARGET...: runs each fuzz target over its corpus, several at once. Prints one
# line a target; fails when one found something, and shows where its input is kept.
folder=$1
limit=$2
shift 2
mkdir -p "$folder/found"
printf '%s\n' "$@" | xargs -P 4 -I{} sh -c '
    mkdir -p '"$folder"'/corpus/{}
    if '"$folder"'/fuzz-{} '"$limit"' -max_len=4096 -print_final_stats=0 -verbosity=0 -artifact_prefix='"$folder"'/found/{}- \
        '"$folder"'/corpus/{} tests/fuzz/corpus/{} >'"$folder"'/{}.txt 2>&1; then
        echo "fuzz {}: nothing found"
    else
        echo "fuzz {}: FOUND SOMETHING"; tail -n 25 '"$folder"'/{}.txt; exit 255
    fi'
