/* HTTP client for the tests of the stand-ins. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "standin/test_client.h"

#define GIVE_UP_S 30

static SoupSession *session;

static gboolean
on_give_up(void *ctx)
{
	fail_msg("nothing happened for %d s", GIVE_UP_S);
	return G_SOURCE_REMOVE;
}

void
wait_for(const bool *flag)
{
	guint timer = g_timeout_add_seconds(GIVE_UP_S, on_give_up, NULL);

	while (!*flag)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(timer);
}

static gboolean
on_pause_over(void *flag)
{
	*(bool *)flag = true;
	return G_SOURCE_REMOVE;
}

void
run_for_ms(guint ms)
{
	bool over = false;

	g_timeout_add(ms, on_pause_over, &over);
	wait_for(&over);
}

static void
on_answer(GObject *source, GAsyncResult *result, void *ctx)
{
	struct answer *a = ctx;

	a->body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	a->status = a->body == NULL ? 0 : soup_message_get_status(a->msg);
	a->done = true;
}

void
begin(struct answer *a, const struct standin *s, const char *method,
    const char *path, const char *body, const char *const *headers)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", s->port, path);
	GBytes *bytes = body == NULL ? NULL : g_bytes_new(body, strlen(body));
	size_t i;

	*a = (struct answer){ .msg = soup_message_new(method, url),
		.cancel = g_cancellable_new() };
	/* On a reused connection libsoup could resend a PUT by itself. */
	soup_message_add_flags(a->msg, SOUP_MESSAGE_NEW_CONNECTION);
	for (i = 0; headers != NULL && headers[i] != NULL; i += 2) {
		soup_message_headers_append(
		    soup_message_get_request_headers(a->msg), headers[i],
		    headers[i + 1]);
	}
	soup_message_set_request_body_from_bytes(
	    a->msg, "application/json", bytes);
	soup_session_send_and_read_async(
	    session, a->msg, G_PRIORITY_DEFAULT, a->cancel, on_answer, a);
	g_clear_pointer(&bytes, g_bytes_unref);
	g_free(url);
}

void
answer_clear(struct answer *a)
{
	g_clear_object(&a->msg);
	g_clear_object(&a->cancel);
	g_clear_pointer(&a->body, g_bytes_unref);
}

void
answer_disconnect(struct answer *a)
{
	g_cancellable_cancel(a->cancel);
	wait_for(&a->done);
}

void
call(struct answer *a, const struct standin *s, const char *method,
    const char *path, const char *body, const char *const *headers)
{
	begin(a, s, method, path, body, headers);
	wait_for(&a->done);
}

void
expect(const struct standin *s, const char *method, const char *path,
    const char *body, unsigned int status, const char *answer)
{
	struct answer a;
	char *text;
	size_t len = 0;

	call(&a, s, method, path, body, NULL);
	assert_int_equal(a.status, status);
	if (answer != NULL) {
		const char *data = g_bytes_get_data(a.body, &len);

		text = g_strndup(data, len);
		assert_string_equal(text, answer);
		g_free(text);
	}
	answer_clear(&a);
}

bool
body_has(const struct answer *a, const char *text)
{
	size_t len = 0;
	const char *data =
	    a->body == NULL ? "" : g_bytes_get_data(a->body, &len);

	return g_strstr_len(data, (gssize)len, text) != NULL;
}

size_t
body_len(const struct answer *a)
{
	return a->body == NULL ? 0 : g_bytes_get_size(a->body);
}

const char *
header(const struct answer *a, const char *name)
{
	const char *value = soup_message_headers_get_one(
	    soup_message_get_response_headers(a->msg), name);

	return value == NULL ? "" : value;
}

int
client_setup(void **state)
{
	/* libsoup's default limit is two connections per host. */
	session = soup_session_new_with_options(
	    "max-conns", 100, "max-conns-per-host", 100, NULL);
	soup_session_set_proxy_resolver(session, NULL);
	return 0;
}

int
client_teardown(void **state)
{
	soup_session_abort(session);
	g_clear_object(&session);
	while (g_main_context_iteration(NULL, FALSE))
		continue;
	return 0;
}

void
wait_for_text(const struct standin *s, const char *path, const char *text)
{
	struct answer a;
	bool found = false;

	while (!found) {
		call(&a, s, "GET", path, NULL, NULL);
		found = body_has(&a, text);
		answer_clear(&a);
		run_for_ms(2);
	}
}
