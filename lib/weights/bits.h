#ifndef WEIGHTS_BITS_H
#define WEIGHTS_BITS_H

/* Sets of chunk indices as bitmaps of 64-bit words. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BITS_WORD 64

static inline uint64_t
bits_words(uint64_t n)
{
	return (n + BITS_WORD - 1) / BITS_WORD;
}

static inline uint64_t *
bits_new(uint64_t n)
{
	return g_new0(uint64_t, bits_words(n));
}

static inline bool
bits_get(const uint64_t *bits, uint64_t i)
{
	return (bits[i / BITS_WORD] >> (i % BITS_WORD) & 1) != 0;
}

static inline void
bits_set(uint64_t *bits, uint64_t i)
{
	bits[i / BITS_WORD] |= (uint64_t)1 << (i % BITS_WORD);
}

static inline void
bits_clear(uint64_t *bits, uint64_t i)
{
	bits[i / BITS_WORD] &= ~((uint64_t)1 << (i % BITS_WORD));
}

#endif
