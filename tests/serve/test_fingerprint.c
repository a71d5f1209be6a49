/* Fingerprints: the same for the same request, and for no other. */

#include "../http/loop.h"

#include "serve/fingerprint.h"

static struct fpr_content
content(
    const char *host, const char *target, const char *caller, const char *body)
{
	return (struct fpr_content){ .host = host,
		.target = { target, strlen(target) },
		.workspace = caller,
		.body = body,
		.body_len = strlen(body) };
}

static uint64_t
of(const char *host, const char *target, const char *caller, const char *body)
{
	struct fpr_content c = content(host, target, caller, body);

	return fpr_of(&c);
}

static void
test_same_content_has_the_same_fingerprint(void **state)
{
	assert_true(of("h", "/x/1?q", "team", "body") ==
	    of("h", "/x/1?q", "team", "body"));
	assert_true(of("h", "/x/1", NULL, "") == of("h", "/x/1", "", ""));
}

/* Guards against a caller who is refused for another one's request. */
static void
test_any_other_content_has_another(void **state)
{
	uint64_t one = of("h", "/x/1", "team", "body");

	assert_true(one != of("g", "/x/1", "team", "body"));
	assert_true(one != of("h", "/x/1?", "team", "body"));
	assert_true(one != of("h", "/x/1", "meat", "body"));
	assert_true(one != of("h", "/x/1", NULL, "body"));
	assert_true(one != of("h", "/x/1", "team", "bodies"));
	assert_true(one != of("h", "/x/1", "team", ""));
	/* Parts do not run into one another. */
	assert_true(
	    of("h", "/x/1", "team", "body") != of("h", "/x/1b", "team", "ody"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_content_has_the_same_fingerprint),
		cmocka_unit_test(test_any_other_content_has_another),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
