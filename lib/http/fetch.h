#ifndef HTTP_FETCH_H
#define HTTP_FETCH_H

/* hfetch: a small HTTP call with a time-out; the response is buffered. */

#include "http/http.h"

struct hfetch;

struct hfetch_answer {
	unsigned int status; /* 0: no complete response */
	bool sent; /* with status 0: the request may have been executed */
	const char *error; /* with status 0: the cause */
	bool timed_out; /* with status 0: there was no sign of a failure */
	enum hcall_failure failure; /* with status 0, if it did not time out */
	const void *body;
	size_t len;
	/* Value of the header asked for; "" if it is missing or too long. */
	const char *header;
};

typedef void hfetch_cb(const struct hfetch_answer *answer, void *ctx);

struct hfetch_conf {
	const char *address;
	const char *method;
	const char *path;
	const char *type; /* Content-Type of the body; NULL: no header */
	const void *body;
	size_t body_len;
	int64_t timeout_us;
	/* While the response arrives, the call ends this long after the last
	 * bytes, but not before its time-out, and at the latest after
	 * `arrival_max_us` in all; 0: at its time-out. */
	int64_t arrival_timeout_us, arrival_max_us;
	const char *header; /* of the response, for the answer; NULL: none */
	size_t answer_max; /* bytes of the body; a longer one is a failure */
	/* Close the connection after the call, for targets that accept few. */
	bool close;
	hfetch_cb *done;
	void *ctx;
};

struct hfetch *hfetch_start(
    struct evl *loop, struct hpool *pool, const struct hfetch_conf *conf);
void hfetch_cancel(struct hfetch *f); /* `done` is not called */

#endif
