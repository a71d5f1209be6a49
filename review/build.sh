#!/bin/sh
# Builds the stand-in of the scripts under review/ against the libraries that the
# build of the deploy file leaves in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
# shellcheck disable=SC2046
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-unused-parameter \
    -Wno-missing-field-initializers -Ilib \
    $(pkg-config --cflags glib-2.0 gio-2.0 gio-unix-2.0) \
    review/stand/stand.c -o target/review/stand.new \
    target/lib/http/libhttp.a target/lib/common/libcommon.a \
    $(pkg-config --libs glib-2.0 gio-2.0 gio-unix-2.0 msgpack yaml-0.1 \
	log4c libcrypto) -lhttp_parser -lm
mv target/review/stand.new target/review/stand
