#ifndef HTTP_FETCH_H
#define HTTP_FETCH_H

/* hfetch: one small call whose answer is gathered whole, with a time-out. */

#include "http/http.h"

struct hfetch;

struct hfetch_answer {
	unsigned int status; /* 0: no whole answer */
	bool sent; /* without an answer: it may have been carried out */
	const char *why; /* without an answer: what went wrong */
	const void *body;
	size_t len;
};

typedef void hfetch_cb(const struct hfetch_answer *answer, void *ctx);

struct hfetch_conf {
	const char *address;
	const char *method;
	const char *path;
	const char *type; /* of the body; NULL: none is stated */
	const void *body;
	size_t body_len;
	int64_t timeout_us;
	size_t answer_max; /* bytes; a longer answer is a failure */
	/* For targets that take few connections: this one is closed after. */
	bool close;
	hfetch_cb *done;
	void *ctx;
};

struct hfetch *hfetch_start(
    struct evl *loop, struct hpool *pool, const struct hfetch_conf *conf);
void hfetch_cancel(struct hfetch *f); /* `done` does not follow */

#endif
