/* A process that was held up, and input that is longer than one read. */

#include "loop.h"

#define HEAD_MS 300
#define BODY_BYTES 60000 /* several reads */

static struct evl *loop;
static struct hserver *server;
static struct hlimits limits;
static char address[32];

static void
on_request(struct hreq *r, void *ctx)
{
	hreq_answer(r, 200, "", "ok", 2);
}

static void
ignore(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
}

static const struct hserver_ops ops = {
	.request = on_request,
	.disconnected = ignore,
	.drained = ignore,
	.refused = on_refused,
};

static int
set_up(void **state)
{
	struct err err = { 0 };

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", free_port());
	limits = (struct hlimits){ .head_bytes = 512,
		.body_bytes = 100000,
		.head_us = HEAD_MS * 1000,
		.idle_us = HEAD_MS * 1000 };
	loop = evl_new(clk_system());
	server = hserver_new(&(struct hserver_conf){ .loop = loop,
				 .address = address,
				 .limits = &limits,
				 .connections_max = 4,
				 .bodies_max = 500000,
				 .ops = &ops },
	    &err);
	assert_non_null(server);
	return 0;
}

static int
tear_down(void **state)
{
	hserver_free(server);
	evl_free(loop);
	return 0;
}

/* Guards against refusing a request by the time for reading it, although all of
 * it arrived in time: a pass reads only a part of a long one. */
static void
test_long_request_that_arrived_in_time(void **state)
{
	char *body = g_strnfill(BODY_BYTES, 'b'), *head, *answer;
	int fd = raw_dial(address);

	head = g_strdup_printf("POST / HTTP/1.1\r\nHost: a\r\n"
			       "Content-Length: %d\r\n\r\n",
	    BODY_BYTES);
	raw_send(fd, head);
	run_ms(20);
	raw_send(fd, body);
	g_usleep((HEAD_MS + 50) * 1000);
	answer = raw_read(fd, "\r\n\r\n");
	if (strstr(answer, "200 OK") == NULL)
		fail_msg("got '%s'", answer);
	g_free(answer);
	g_free(head);
	g_free(body);
	close(fd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_long_request_that_arrived_in_time, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
