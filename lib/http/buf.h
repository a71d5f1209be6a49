#ifndef HTTP_BUF_H
#define HTTP_BUF_H

/*
 * hbuf: a growable byte buffer that is consumed from the front. An empty
 * buffer holds no memory, so a thousand idle connections need none for it.
 */

#include <stddef.h>
#include <stdint.h>

struct hbuf {
	uint8_t *data;
	size_t at, len, size; /* unread bytes are data[at..len) */
};

void hbuf_add(struct hbuf *b, const void *data, size_t len);
void hbuf_consume(struct hbuf *b, size_t n); /* drops the first n bytes */
void hbuf_free(struct hbuf *b); /* empties the buffer; it stays usable */

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
