/* The retry budget: charges attempts beyond a request's first, and copies of
 * the accounts. */

#include "serve/fwd_internal.h"

/* Minimum time between two log lines of denied retries of one service. */
#define DENIED_LOG_US 500000

static void
log_budget(struct fwd_req *r, const char *outcome)
{
	const struct spend_conf *conf = &r->fwd->conf.budget;
	struct spend_usage usage =
	    spend_usage(&r->service->budget, conf, fwd_now(r));

	evt(EVT_BUDGET,
	    "req=%s service=%s outcome=%s left=%.1f retries=%u requests=%u "
	    "slack=%.1f sharers=%u denied=%u",
	    r->id, r->service->targets->name, outcome, usage.remaining,
	    usage.extra, usage.requests, spend_slack(conf), conf->processes,
	    r->service->denied);
}

static void
note_denied(struct fwd_req *r)
{
	struct fwd_service *service = r->service;

	ctr_add(r->fwd->denied, 1);
	service->denied++;
	if (service->denied_logged_us != 0 &&
	    fwd_now(r) - service->denied_logged_us < DENIED_LOG_US)
		return;
	log_budget(r, "denied");
	service->denied_logged_us = fwd_now(r);
	service->denied = 0;
}

bool
fwd_may_spend(struct fwd_req *r)
{
	r->is_denied =
	    !spend_take(&r->service->budget, &r->fwd->conf.budget, fwd_now(r));
	if (r->is_denied) {
		note_denied(r);
		return false;
	}
	ctr_add(r->fwd->charged, 1);
	log_budget(r, "charged");
	if (r->fwd->conf.account_changed != NULL)
		r->fwd->conf.account_changed(r->fwd->conf.publish_ctx);
	return true;
}

void
fwd_each_account(struct fwd *f,
    void (*each)(const char *service, const struct spend_copy *copy, void *ctx),
    void *ctx)
{
	int64_t now_us = evl_now_us(f->conf.loop);
	struct fwd_service *service;
	struct spend_usage usage;
	struct spend_copy copy;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service = value;
		usage = spend_usage(&service->budget, &f->conf.budget, now_us);
		if (usage.requests == 0 && usage.extra == 0)
			continue;
		spend_export(&service->budget, &f->conf.budget, now_us, &copy);
		each(service->targets->name, &copy, ctx);
	}
}

void
fwd_inherit_account(struct fwd *f, const char *service,
    const struct spend_copy *copy, int64_t age_us)
{
	spend_inherit(&fwd_service(f, service)->budget, &f->conf.budget,
	    evl_now_us(f->conf.loop), copy, age_us);
}
