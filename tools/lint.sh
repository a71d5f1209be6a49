#!/bin/sh
# Runs the formatter and the linter over every C file of the tree.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard '*.c' '*.h')
[ -n "$files" ] || exit 0
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files
# shellcheck disable=SC2086
cppcheck -q -j 8 --error-exitcode=1 --std=c11 --inline-suppr \
    --enable=warning,portability,performance \
    --suppress=missingInclude --suppress=missingIncludeSystem \
    --suppress=normalCheckLevelMaxBranches --library=gtk,posix \
    --include=tools/lint_macros.h \
    -Ilib -Iprograms -Itests $files
