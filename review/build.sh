#!/bin/sh
# Builds the daemon as the deploy file does, and the review's drivers into build/review/.
# The drivers use the project's own stand-ins and libraries; nothing else is needed.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/heathsaild
make -s -j8 build/libtools.a build/libstandin.a build/libheathsail.a
mkdir -p build/review
packages="libulfius glib-2.0 libprotobuf-c jansson libxxhash"
for driver in review/[0-9]*/case.c; do
    [ -e "$driver" ] || continue
    number=$(basename "$(dirname "$driver")")
    cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Iinclude -Isrc -I. -Igen \
        $(pkg-config --cflags $packages) -o "build/review/case$number" \
        "$driver" review/lib/fleet.c review/lib/engine.c build/libtools.a build/libstandin.a build/libheathsail.a \
        $(pkg-config --libs $packages) -lck -lmicrohttpd -lhttp_parser -lm -lpthread
done
