#!/bin/sh
# Installs the Debian packages the build needs, only those that are missing.
set -eu
packages="gcc make pkg-config libulfius-dev libcurl4-gnutls-dev libglib2.0-dev libprotobuf-c-dev libjansson-dev libxxhash-dev libck-dev libhttp-parser-dev libcunit1-dev spin clang-format clang-tidy clang libclang-rt-14-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
