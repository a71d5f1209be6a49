#ifndef COMMON_NEST_H
#define COMMON_NEST_H

/*
 * nest: bounds how deep a JSON document is nested, before it is parsed. The
 * parser calls itself for each level, so that a long run of `[` overflows the
 * stack and ends the process.
 */

#include <stdbool.h>
#include <stddef.h>

/* Levels of what callers, operators and other processes send; documents with
 * the schemas of tools nest a few dozen deep. */
#define NEST_MAX 128

/* Whether the document has at most `max` levels of arrays and objects. It may be
 * malformed; a bracket in a string is no level. */
bool nest_within(const char *text, size_t len, unsigned int max);

#endif
