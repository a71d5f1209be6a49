/* Local state of the targets. */

#include <string.h>

#include "serve/tgt_internal.h"

/* Targets whose records expired during a store outage publish them again
 * within about two seconds of its end. */
#define EXPIRED_RETAIN_US 1900000
/* A target is in backoff after a failure without an answer; each further
 * failure doubles the time. The first is short, as one lost connection does
 * not mean a dead host. */
#define BACKOFF_FIRST_US 250000
#define BACKOFF_MAX_US 4000000
/* Weight of one answer in the moving average of failures. */
#define ERROR_WEIGHT 0.1
/* Targets added to a new set within this time existed before it. */
#define LEARN_US 3000000

/* ------------------------------------------------------------------ */
/* Set and services                                                    */
/* ------------------------------------------------------------------ */

static void
service_free(gpointer data)
{
	struct tgt_service *service = data;
	struct tgt *t;

	while ((t = TAILQ_FIRST(&service->targets)) != NULL) {
		TAILQ_REMOVE(&service->targets, t, link);
		t->dropped = true;
		t->service = NULL;
		if (t->refs == 0)
			g_free(t);
	}
	g_free(service->name);
	g_free(service);
}

struct tgt_set *
tgt_set_new(const char *region, const struct tgt_policy *p)
{
	struct tgt_set *s = g_new0(struct tgt_set, 1);

	s->region = g_strdup(region);
	s->policy = *p;
	s->regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	s->displaced =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	TAILQ_INIT(&s->kept);
	return s;
}

void
tgt_set_free(struct tgt_set *s)
{
	g_hash_table_unref(s->by_id);
	g_hash_table_unref(s->by_address);
	g_hash_table_unref(s->displaced);
	g_hash_table_unref(s->services);
	g_hash_table_unref(s->regions);
	tgt_notice_free(s);
	g_free(s->region);
	g_free(s);
}

struct tgt_policy *
tgt_set_policy(struct tgt_set *s)
{
	return &s->policy;
}

void
tgt_set_domain(struct tgt_set *s, const char *domain, const char *region)
{
	g_hash_table_replace(s->regions, g_strdup(domain), g_strdup(region));
}

struct tgt_service *
tgt_service(struct tgt_set *s, const char *name)
{
	struct tgt_service *service = g_hash_table_lookup(s->services, name);

	if (service != NULL)
		return service;
	service = g_new0(struct tgt_service, 1);
	service->name = g_strdup(name);
	TAILQ_INIT(&service->targets);
	g_hash_table_insert(s->services, service->name, service);
	return service;
}

void
tgt_configure(struct tgt_set *s, const struct sv_config *config)
{
	struct tgt_service *service;
	size_t i;

	for (i = 0; i < config->nservices; i++) {
		service = tgt_service(s, config->services[i].name);
		service->configured = true;
		service->has_engine = config->services[i].has_engine;
		service->engine = config->services[i].engine;
		service->connections_max = config->services[i].connections_max;
	}
}

/* ------------------------------------------------------------------ */
/* Membership                                                          */
/* ------------------------------------------------------------------ */

struct tgt *
tgt_ref(struct tgt *t)
{
	t->refs++;
	return t;
}

void
tgt_unref(struct tgt *t)
{
	g_assert(t->refs > 0);
	t->refs--;
	if (t->refs == 0 && t->dropped)
		g_free(t);
}

static void
drop(struct tgt_set *s, struct tgt *t)
{
	tgt_notice_keep(s, t);
	t->uncertain = false; /* its next record has the doubt */
	TAILQ_REMOVE(&t->service->targets, t, link);
	t->service->ntargets--;
	g_hash_table_remove(s->by_id, t->record.id);
	if (g_hash_table_lookup(s->by_address, t->record.address) == t)
		g_hash_table_remove(s->by_address, t->record.address);
	t->dropped = true;
	t->service = NULL;
	if (t->refs == 0)
		g_free(t);
}

static bool
is_local(struct tgt_set *s, const char *domain)
{
	const char *region = g_hash_table_lookup(s->regions, domain);

	return region != NULL && strcmp(region, s->region) == 0;
}

bool
tgt_side_is_alive(const struct tgt *t, int64_t now_us)
{
	return t->side_report_us != 0 &&
	    now_us - t->side_report_us <= TGT_SIDE_TIMEOUT_US;
}

bool
tgt_path_is_slow(const struct tgt *t, int64_t now_us)
{
	if (t->slow_link)
		return true;
	return t->service != NULL && t->service->side_report_us != 0 &&
	    !tgt_side_is_alive(t, now_us);
}

static void
displace(struct tgt_set *s, struct tgt *t)
{
	struct sv_target *record = g_new(struct sv_target, 1);

	*record = t->record;
	g_hash_table_replace(s->displaced, record->id, record);
	drop(s, t);
}

/* A record whose address was taken over, or NULL. */
static struct sv_target *
find_displaced(struct tgt_set *s, const char *address)
{
	GHashTableIter iter;
	gpointer record;

	g_hash_table_iter_init(&iter, s->displaced);
	while (g_hash_table_iter_next(&iter, NULL, &record)) {
		if (strcmp(((struct sv_target *)record)->address, address) == 0)
			return record;
	}
	return NULL;
}

/* Assigns an address to its new target and drops the one that had it before.
 * A record of a service that is not in the settings does not describe a
 * valid target and takes over no address. */
static void
take_address(struct tgt_set *s, struct tgt *t)
{
	struct tgt *previous =
	    g_hash_table_lookup(s->by_address, t->record.address);

	if (previous != NULL && previous != t) {
		if (previous->service->configured && !t->service->configured)
			return;
		displace(s, previous);
	}
	g_hash_table_insert(s->by_address, t->record.address, t);
}

static struct tgt *
add(struct tgt_set *s, const struct sv_target *record)
{
	struct tgt *t = g_new0(struct tgt, 1);

	t->record = *record;
	t->service = tgt_service(s, record->service);
	t->local = is_local(s, record->domain);
	t->slowdown = 1;
	TAILQ_INSERT_TAIL(&t->service->targets, t, link);
	t->service->ntargets++;
	g_hash_table_insert(s->by_id, t->record.id, t);
	take_address(s, t);
	return t;
}

/*
 * Whether a record describes the same start of the target. A live sidecar's
 * start time is newer than the store's, as a record of the previous start may
 * be written late. If either start time is unknown, both are taken for the
 * same.
 */
static bool
same_start(const struct tgt *t, const struct sv_target *record, int64_t now_us)
{
	if (record->start_ms == 0 || t->record.start_ms == 0 ||
	    record->start_ms == t->record.start_ms)
		return true;
	return record->start_ms < t->record.start_ms &&
	    tgt_side_is_alive(t, now_us);
}

static int64_t
complete_version(
    const struct tgt_service *service, const struct sv_target *record)
{
	return sv_layers_complete(&record->layers, service->engine.layers)
	    ? record->model_version
	    : 0;
}

static void
note_learning(struct tgt_set *s, int64_t now_us)
{
	if (s->learn_until_us == 0)
		s->learn_until_us = now_us + LEARN_US;
}

struct tgt *
tgt_put(struct tgt_set *s, const struct sv_target *record, int64_t now_us)
{
	struct tgt *t = g_hash_table_lookup(s->by_id, record->id);
	int64_t start_ms;

	note_learning(s, now_us);
	g_hash_table_remove(s->displaced, record->id);
	if (t != NULL &&
	    (strcmp(t->record.service, record->service) != 0 ||
		strcmp(t->record.address, record->address) != 0 ||
		!same_start(t, record, now_us))) {
		drop(s, t);
		t = NULL;
	}
	if (t == NULL) {
		t = add(s, record);
		t->known_us = now_us;
		tgt_notice_restore(s, t, now_us);
	}
	start_ms = MAX(t->record.start_ms, record->start_ms);
	t->record = *record;
	t->record.start_ms = start_ms;
	t->drop_us = 0;
	/* The target itself knows better than a record, which may have been
	 * written earlier. */
	t->leaving = record->leaving || t->announced_leaving;
	t->refused_version = 0;
	/* A live sidecar's report is newer, and the record does not state
	 * from which chunks the version was loaded. */
	if (!tgt_side_is_alive(t, now_us) && !t->uncertain) {
		g_strlcpy(t->model, record->model, sizeof(t->model));
		t->version = complete_version(t->service, record);
	}
	return t;
}

/* Drops a target; one whose address it had taken over gets it back. */
static struct tgt *
drop_and_restore(struct tgt_set *s, struct tgt *t, int64_t now_us)
{
	const struct sv_target *displaced;
	struct sv_target record;

	displaced = find_displaced(s, t->record.address);
	if (displaced != NULL)
		record = *displaced;
	drop(s, t);
	return displaced == NULL ? NULL : tgt_put(s, &record, now_us);
}

struct tgt *
tgt_removed(struct tgt_set *s, const char *id, bool expired, int64_t now_us)
{
	struct tgt *t = g_hash_table_lookup(s->by_id, id);

	g_hash_table_remove(s->displaced, id);
	if (t == NULL)
		return NULL;
	if (expired && !t->leaving) {
		t->drop_us = now_us + EXPIRED_RETAIN_US;
		return NULL;
	}
	t->removed_us = now_us;
	return drop_and_restore(s, t, now_us);
}

void
tgt_restored(struct tgt_set *s, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	struct tgt *t;

	s->restored_us = now_us;
	tgt_notice_restored(s);
	g_hash_table_iter_init(&iter, s->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		t = value;
		t->announced_leaving =
		    t->announced_leaving || t->record.leaving;
	}
}

void
tgt_sweep(struct tgt_set *s, int64_t now_us)
{
	GList *all = g_hash_table_get_values(s->by_id);
	GList *at;
	struct tgt *t;

	for (at = all; at != NULL; at = at->next) {
		t = at->data;
		if (t->drop_us != 0 && t->drop_us <= now_us)
			(void)drop_and_restore(s, t, now_us);
	}
	g_list_free(all);
}

unsigned int
tgt_limited(struct tgt_set *s)
{
	GHashTableIter iter;
	gpointer t;
	unsigned int n = 0;

	g_hash_table_iter_init(&iter, s->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &t))
		n += ((const struct tgt *)t)->rate.limit > 0;
	return n;
}

struct tgt *
tgt_find(struct tgt_set *s, const char *id)
{
	return g_hash_table_lookup(s->by_id, id);
}

struct tgt *
tgt_by_address(struct tgt_set *s, const char *address)
{
	return g_hash_table_lookup(s->by_address, address);
}

int64_t
tgt_newest_loaded(const struct tgt_service *service, int64_t now_us)
{
	const struct tgt *t;
	int64_t newest = 0;

	TAILQ_FOREACH (t, &service->targets, link) {
		if (tgt_side_is_alive(t, now_us) &&
		    strcmp(t->model, service->engine.model) == 0)
			newest = MAX(newest, t->version);
	}
	return newest;
}

/* ------------------------------------------------------------------ */
/* Load                                                                */
/* ------------------------------------------------------------------ */

void
tgt_sent(struct tgt *t, int64_t now_us)
{
	t->local_inflight++;
	t->sent_since++;
	rate_sent(&t->rate, now_us);
	if (t->failures > 0)
		t->probing = true;
}

void
tgt_ended(struct tgt *t, int64_t now_us)
{
	g_assert(t->local_inflight > 0);
	t->local_inflight--;
}

void
tgt_prefill(struct tgt *t, uint64_t tokens, bool sent)
{
	g_assert(sent || t->prefill_tokens >= tokens);
	t->prefill_tokens =
	    sent ? t->prefill_tokens + tokens : t->prefill_tokens - tokens;
}

void
tgt_set_load(struct tgt *t, unsigned int total, int64_t now_us)
{
	if (tgt_is_silent_to_side(t, now_us) && t->reported_us != 0) {
		/* The sidecar repeats the load of the target's last report. */
		t->reported_us = now_us;
		return;
	}
	t->reported = total;
	t->reported_local = t->local_inflight;
	t->reported_us = now_us;
	t->sent_since = 0;
}

/* ------------------------------------------------------------------ */
/* Failures                                                            */
/* ------------------------------------------------------------------ */

static void
record_failure(struct tgt *t, int64_t now_us)
{
	int64_t backoff_us = BACKOFF_FIRST_US << MIN(t->failures, 6);

	t->failures++;
	t->probing = false;
	t->backoff_until_us = now_us + MIN(backoff_us, BACKOFF_MAX_US);
}

static void
end_backoff(struct tgt *t)
{
	t->failures = 0;
	t->probing = false;
	t->backoff_until_us = 0;
}

void
tgt_outcome(struct tgt *t, enum tgt_outcome o, int64_t now_us)
{
	double error = o == TGT_ANSWERED ? 0 : 1;

	/* An engine cuts its requests when it loads weights. Its sidecar
	 * announced the load, so the cut is not a failure. */
	if (o == TGT_REFUSED || (o == TGT_ERROR && t->side_down)) {
		t->probing = false;
		return;
	}
	t->error_rate += (error - t->error_rate) * ERROR_WEIGHT;
	t->answers++;
	if (o == TGT_LOST) /* worse than silence */
		t->silent_us = 0;
	if (o == TGT_TIMEOUT || o == TGT_LOST) {
		/* Requests that fail at the same time count as one failure. */
		if (now_us >= t->backoff_until_us)
			record_failure(t, now_us);
		return;
	}
	end_backoff(t);
}

void
tgt_silent(struct tgt *t, int64_t since_us, int64_t now_us)
{
	tgt_outcome(t, TGT_TIMEOUT, now_us);
	if (t->silent_us == 0)
		t->silent_us = since_us;
}

int64_t
tgt_heard(struct tgt *t, int64_t now_us)
{
	int64_t since_us = t->silent_us;

	t->side_silent_us = 0;
	if (since_us == 0)
		return 0;
	t->silent_us = 0;
	end_backoff(t);
	return now_us - since_us;
}

void
tgt_set_side_silent(struct tgt *t, bool silent, int64_t now_us)
{
	t->side_silent_us = silent ? now_us : 0;
}

bool
tgt_is_silent_to_side(const struct tgt *t, int64_t now_us)
{
	return t->side_silent_us != 0 &&
	    now_us - t->side_silent_us < SV_SILENCE_MAX_US;
}

void
tgt_probe_abandoned(struct tgt *t)
{
	t->probing = false;
}

void
tgt_set_side_down(struct tgt *t, bool down, int64_t now_us)
{
	if (t->side_down && !down)
		t->up_us = now_us;
	t->side_down = down;
}

void
tgt_set_slowdown(struct tgt *t, uint64_t permille)
{
	t->slowdown = permille == 0 ? 1 : (double)permille / 1000.0;
}

/* Datagrams overtake each other by less than this, and a sidecar takes longer to
 * start again. */
#define REORDER_US 100000

bool
tgt_side_is_outdated(const struct tgt *t, uint32_t seq, int64_t now_us)
{
	return t->direct_us != 0 && now_us - t->direct_us < REORDER_US &&
	    !side_seq_after(seq, t->direct_seq);
}

static void
note_side_report(struct tgt *t, uint32_t seq, int64_t now_us)
{
	t->side_report_us = now_us;
	t->service->side_report_us = now_us;
	t->side_seq = seq;
}

void
tgt_side_reported(struct tgt *t, uint32_t seq, int64_t now_us)
{
	t->direct_seq = seq;
	t->direct_us = now_us;
	note_side_report(t, seq, now_us);
}

void
tgt_side_version(struct tgt *t, const struct side_report *report)
{
	uint64_t version = report->version;

	/* The doubt of a process that ended is for the next one to settle. */
	if (report->starting && t->uncertain)
		return;
	/* Other gateways may have such a doubt. */
	if (report->starting && !t->weights_known)
		version = 0;
	t->weights_known = t->weights_known || !report->starting;
	t->service->side_settled =
	    t->service->side_settled || !report->starting;
	t->uncertain = report->uncertain != 0;
	g_strlcpy(t->model, version > 0 ? t->service->engine.model : "",
	    sizeof(t->model));
	t->version = (int64_t)version;
	if (t->refused_version == 0 || t->version == 0 ||
	    t->version == t->refused_version)
		return;
	t->leaving = t->record.leaving || t->announced_leaving;
	t->refused_version = 0;
}

bool
tgt_has_predecessors(
    const struct tgt_set *s, const struct tgt_service *service, int64_t now_us)
{
	return service->side_settled ||
	    (s->learn_until_us != 0 && now_us >= s->learn_until_us);
}

bool
tgt_relayed(struct tgt *t, const struct side_relayed *report, int64_t now_us)
{
	if (t->side_report_us == 0 || !side_seq_after(report->seq, t->side_seq))
		return false;
	note_side_report(t, report->seq, now_us);
	tgt_set_slowdown(t, report->slowdown_permille);
	t->slow_link = report->slow_link;
	t->inbound_us = (int64_t)report->inbound_ms * 1000;
	tgt_set_load(t, report->total, now_us);
	return true;
}

struct tgt *
tgt_side_started(struct tgt_set *s, struct tgt *t, int64_t start_ms)
{
	struct sv_target record = t->record;

	if (start_ms == 0 || start_ms == t->record.start_ms)
		return t;
	record.start_ms = start_ms;
	if (t->record.start_ms == 0) { /* the start time was unknown so far */
		t->record.start_ms = start_ms;
		return t;
	}
	drop(s, t);
	tgt_notice_discard(s, record.id);
	return add(s, &record);
}

void
tgt_wrong_instance(struct tgt *t)
{
	t->leaving = true;
	t->refused_version = t->version;
}
