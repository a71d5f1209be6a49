#ifndef HTTP_BUF_H
#define HTTP_BUF_H

/*
 * hbuf: a growing byte buffer read from the front. It holds no memory while
 * it is empty, so that a thousand idle connections cost none.
 */

#include <stddef.h>
#include <stdint.h>

struct hbuf {
	uint8_t *data;
	size_t at, len, size; /* unread bytes are data[at..len) */
};

void hbuf_add(struct hbuf *b, const void *data, size_t len);
void hbuf_use(struct hbuf *b, size_t n); /* n bytes were taken */
void hbuf_free(struct hbuf *b); /* empties it; it can be used again */

static inline size_t
hbuf_left(const struct hbuf *b)
{
	return b->len - b->at;
}

static inline const uint8_t *
hbuf_front(const struct hbuf *b)
{
	return b->data + b->at;
}

#endif
