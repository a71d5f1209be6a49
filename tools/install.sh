#!/bin/sh
# Installs with apt the packages that the build, the tests and the model checks
# need; does nothing when all of them are installed.
set -eu
packages="build-essential cmake ninja-build pkg-config clang-format cppcheck
 spin git curl libglib2.0-dev libsoup-3.0-dev libmsgpack-dev libyaml-dev libpopt-dev
 liblog4c-dev libcmocka-dev libjson-glib-dev libssl-dev libhttp-parser-dev"
missing=
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q 'ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends $missing
