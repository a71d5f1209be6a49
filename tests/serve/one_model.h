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

#endif
