/*
 * Parts of prompts. The requests of a route share the first part of their
 * prompts, and some of them the second one; the last part is their own. Whether
 * such requests are still served while a part of others terminates engines is
 * measured as the share of them that begin to be answered, before and after.
 */

#include "fleet.h"

#define SUBJECTS 12
#define SAMPLE_MIN 20 /* requests on each side of a comparison */

char *
fleet_part_list(
    struct fleet *f, unsigned int number, const char *extra, unsigned int place)
{
	GString *list = g_string_new(NULL);
	unsigned int subject = (unsigned int)rng_below(&f->part_rng, SUBJECTS);

	if (extra != NULL && place == 0)
		g_string_append_printf(list, "%s:100,", extra);
	g_string_append(list, "5c1e07a2:40,");
	if (extra != NULL && place == 1)
		g_string_append_printf(list, "%s:100,", extra);
	g_string_append_printf(list, "91bd3f%02x:200,", subject);
	if (extra != NULL && place > 1)
		g_string_append_printf(list, "%s:100,", extra);
	g_string_append_printf(list, "e%x:50", number);
	return g_string_free(list, FALSE);
}

void
fleet_part_answered(struct fleet *f, int64_t sent_us, bool has_begun)
{
	struct fleet_share *share;

	if (f->part_from_us == 0)
		return;
	if (sent_us < f->part_from_us)
		share = &f->share_before;
	else if (fleet_parts_known(f, sent_us))
		share = &f->share_after;
	else
		return;
	share->asked++;
	share->begun += has_begun;
}

static double
share_of(const struct fleet_share *s)
{
	return s->asked == 0 ? 0 : (double)s->begun / s->asked;
}

bool
fleet_parts_withheld(const struct fleet *f)
{
	return f->share_before.asked >= SAMPLE_MIN &&
	    f->share_after.asked >= SAMPLE_MIN &&
	    2 * share_of(&f->share_after) < share_of(&f->share_before);
}

void
fleet_parts_print(const struct fleet *f)
{
	if (f->part_from_us != 0)
		g_print("sound requests with shared parts: begun %u of %u "
			"before, %u of %u after\n",
		    f->share_before.begun, f->share_before.asked,
		    f->share_after.begun, f->share_after.asked);
}
