#!/bin/sh
# Builds the stand-ins and drivers of the second review into build/review-2/. Run it from the
# repository's root, after the build of deploy/system.toml. A driver with a "main" stands in
# review/N/driver.c; review/lib2/ is what they share. The project's own stand-ins come from
# target/libstandin.a, which the deploy file's build makes.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/heathsaild
packages="libulfius glib-2.0 libprotobuf-c jansson libxxhash"
mkdir -p build/review-2
for driver in review/*/driver.c; do
    number=$(basename "$(dirname "$driver")")
    gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Iinclude -Isrc -I. -Igen -Ireview/lib2 \
        $(pkg-config --cflags $packages) -o "build/review-2/$number" "$driver" review/lib2/kit2.c \
        target/libstandin.a target/libheathsail.a $(pkg-config --libs $packages) \
        -lck -lmicrohttpd -lhttp_parser -lm -lpthread
done
