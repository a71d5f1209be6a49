/* A growable byte buffer that is consumed from the front. */

#include <glib.h>
#include <string.h>

#include "http/buf.h"

#define SIZE_MIN 1024

void
hbuf_add(struct hbuf *b, const void *data, size_t len)
{
	if (len == 0)
		return;
	if (b->len + len > b->size && b->at > 0) {
		memmove(b->data, b->data + b->at, b->len - b->at);
		b->len -= b->at;
		b->at = 0;
	}
	if (b->len + len > b->size) {
		b->size = MAX(b->len + len, MAX(SIZE_MIN, b->size * 2));
		b->data = g_realloc(b->data, b->size);
	}
	memcpy(b->data + b->len, data, len);
	b->len += len;
}

void
hbuf_consume(struct hbuf *b, size_t n)
{
	g_assert(n <= hbuf_left(b));
	b->at += n;
	if (b->at == b->len)
		hbuf_free(b);
}

void
hbuf_free(struct hbuf *b)
{
	g_free(b->data);
	*b = (struct hbuf){ 0 };
}
