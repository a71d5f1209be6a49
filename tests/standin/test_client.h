#ifndef STANDIN_TEST_CLIENT_H
#define STANDIN_TEST_CLIENT_H

/* HTTP client for the tests of the stand-ins, on the test's main loop. */

#include "standin/standin.h"

struct answer {
	SoupMessage *msg;
	GCancellable *cancel;
	bool done;
	unsigned int status; /* 0: the connection ended without an answer */
	GBytes *body;
};

/* Setup and teardown of each test. */
int client_setup(void **state);
int client_teardown(void **state);

/* Runs the main loop until the flag is set; fails the test after 30 s. */
void wait_for(const bool *flag);
/* Runs the main loop for a while, before a check that nothing happened. */
void run_for_ms(guint ms);

/* Starts a call; `a->done` is set when it has ended. `body` and `headers`
 * (name, value, ..., NULL) may be NULL. */
void begin(struct answer *a, const struct standin *s, const char *method,
    const char *path, const char *body, const char *const *headers);
/* Starts a call and waits for its end. */
void call(struct answer *a, const struct standin *s, const char *method,
    const char *path, const char *body, const char *const *headers);
/* Closes the connection and waits for the end of the call. */
void answer_disconnect(struct answer *a);
/* Frees the members of `a`. */
void answer_clear(struct answer *a);
/* Makes a call and checks the status and the body (NULL: any). */
void expect(const struct standin *s, const char *method, const char *path,
    const char *body, unsigned int status, const char *answer);

/* Repeats a GET until the answer contains the text; if it never does, the test
 * ends by ctest's timeout. */
void wait_for_text(const struct standin *s, const char *path, const char *text);

bool body_has(const struct answer *a, const char *text);
size_t body_len(const struct answer *a);
/* Returns the value of a response header, or "". */
const char *header(const struct answer *a, const char *name);

#endif
