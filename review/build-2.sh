#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.c review/10/case.c; do
	[ -f "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	${CC:-cc} -std=c11 -D_GNU_SOURCE -O1 -Wall -Wextra -o "target/review-2/case-$n" \
	    "$source" review/stand-2/stand.c -lcrypto -lpthread
done
