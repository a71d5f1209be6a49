#ifndef COMMON_JTEXT_H
#define COMMON_JTEXT_H

/*
 * jtext: checks the text of a JSON document before it is parsed, for what the
 * parser does not report or does not survive. The document may be malformed.
 */

#include <stdbool.h>
#include <stddef.h>

/* Levels of what callers, operators and other processes send; documents with
 * the schemas of tools nest a few dozen deep. */
#define JTEXT_DEPTH_MAX 128

/* Whether the document has at most `max` levels of arrays and objects. The
 * parser calls itself for each level, so that a long run of `[` overflows the
 * stack and ends the process. */
bool jtext_nests_within(const char *text, size_t len, unsigned int max);
/* Whether an int64_t holds each integer of the document. The parser wraps others
 * around: -10^20 would be read as 1. */
bool jtext_ints_fit(const char *text, size_t len);

#endif
