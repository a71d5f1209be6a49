#ifndef STANDIN_TEST_CLIENT_H
#define STANDIN_TEST_CLIENT_H

/* What the tests of the stand-ins share: HTTP calls on the test's own loop. */

#include "standin/standin.h"

struct answer {
	SoupMessage *msg;
	GCancellable *cancel;
	bool done;
	unsigned int status; /* 0: the connection ended without an answer */
	GBytes *body;
};

/* For each test, around it. */
int client_setup(void **state);
int client_teardown(void **state);

/* Runs the loop until the flag is set; fails the test after 30 s. */
void wait_for(const bool *flag);
/* Lets the loop run, for what must not happen meanwhile. */
void run_for_ms(guint ms);

/* Starts a call; `a->done` is set when it is over. `body` and `headers`
 * (name, value, ..., NULL) may be NULL. */
void begin(struct answer *a, const struct standin *s, const char *method,
    const char *path, const char *body, const char *const *headers);
/* Starts a call and waits. */
void call(struct answer *a, const struct standin *s, const char *method,
    const char *path, const char *body, const char *const *headers);
void leave(struct answer *a); /* closes the connection and waits */
void end(struct answer *a); /* frees what the call left */
/* Calls and compares status and body (NULL: any). */
void expect(const struct standin *s, const char *method, const char *path,
    const char *body, unsigned int status, const char *answer);

/* Asks again and again until the answer holds the text; ctest's limit ends a
 * test where it never does. */
void wait_for_text(const struct standin *s, const char *path, const char *text);

bool body_has(const struct answer *a, const char *text);
size_t body_len(const struct answer *a);
const char *header(const struct answer *a, const char *name); /* or "" */

#endif
