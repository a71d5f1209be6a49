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
fingerprint_of(
    const char *host, const char *target, const char *caller, const char *body)
{
	struct fpr_content c = content(host, target, caller, body);

	return fpr_of(&c);
}

static void
test_same_content_has_the_same_fingerprint(void **state)
{
	assert_true(fingerprint_of("h", "/x/1?q", "team", "body") ==
	    fingerprint_of("h", "/x/1?q", "team", "body"));
	assert_true(fingerprint_of("h", "/x/1", NULL, "") ==
	    fingerprint_of("h", "/x/1", "", ""));
}

/* Guards against refusing a caller because of another caller's request. */
static void
test_other_content_has_another_fingerprint(void **state)
{
	uint64_t one = fingerprint_of("h", "/x/1", "team", "body");

	assert_true(one != fingerprint_of("g", "/x/1", "team", "body"));
	assert_true(one != fingerprint_of("h", "/x/1?", "team", "body"));
	assert_true(one != fingerprint_of("h", "/x/1", "meat", "body"));
	assert_true(one != fingerprint_of("h", "/x/1", NULL, "body"));
	assert_true(one != fingerprint_of("h", "/x/1", "team", "bodies"));
	assert_true(one != fingerprint_of("h", "/x/1", "team", ""));
	/* Bytes that move from one part to the next change it. */
	assert_true(fingerprint_of("h", "/x/1", "team", "body") !=
	    fingerprint_of("h", "/x/1b", "team", "ody"));
}

/* Guards against one part that counts as two, and two that count as one. */
static void
test_parts(void **state)
{
	uint64_t one = fpr_of_part(slice_str("5c1e07a2"));

	assert_true(one == fpr_of_part(slice_str("5C1E07A2")));
	assert_true(one != fpr_of_part(slice_str("5c1e07a3")));
	assert_true(one != fpr_of_part(slice_str("5c1e07a")));
	assert_int_equal(fpr_kind_of(one), FPR_PART);
	assert_int_equal(
	    fpr_kind_of(fingerprint_of("h", "/x", "team", "")), FPR_CONTENT);
	/* Kinds that later versions may add. */
	assert_int_equal(fpr_kind_of(UINT64_MAX), FPR_CONTENT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_content_has_the_same_fingerprint),
		cmocka_unit_test(test_other_content_has_another_fingerprint),
		cmocka_unit_test(test_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
