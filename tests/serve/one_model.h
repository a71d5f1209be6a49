#ifndef ONE_MODEL_H
#define ONE_MODEL_H

/* An engine that is listed with version 2 of a model, for tests of which reports its
 * gateway believes. */

#include <glib.h>

#include "serve/tgt.h"

#define SECOND 1000000

static inline struct tgt *
put_model_at(struct tgt_set *set, int64_t now_us)
{
	struct sv_target record = { .slots = 4,
		.has_models = true,
		.start_ms = 1000,
		.model_version = 2 };
	struct tgt *t;

	g_strlcpy(record.id, "a", sizeof(record.id));
	g_strlcpy(record.service, "s", sizeof(record.service));
	g_strlcpy(record.address, "1.1.1.1:1", sizeof(record.address));
	g_strlcpy(record.domain, "near", sizeof(record.domain));
	g_strlcpy(record.model, "m", sizeof(record.model));
	t = tgt_put(set, &record, now_us);
	t->service->engine.chunks = 64;
	g_strlcpy(
	    t->service->engine.model, "m", sizeof(t->service->engine.model));
	return t;
}

static inline struct tgt *
put_model(struct tgt_set *set)
{
	return put_model_at(set, SECOND);
}

static inline struct tgt_set *
open_set(void)
{
	const struct tgt_policy policy = { .beyond_slots = 1, .gateways = 3 };

	return tgt_set_new("here", &policy);
}

/* The sidecar reports. */
static inline void
report(struct tgt *t, const struct side_report *r, uint32_t seq, int64_t now_us)
{
	tgt_side_version(t, r);
	tgt_side_reported(t, seq, now_us);
}

/* The engine that a request for the model is sent to now, or NULL. */
static inline struct tgt *
choose(struct tgt_set *set, struct tgt *t, int64_t now_us)
{
	const struct tgt_criteria criteria = { .model = "m" };
	enum tgt_reason why;

	return tgt_choose(set, t->service, &criteria, now_us, &why);
}

#endif
