/* The retry budget: charges attempts beyond a request's first. */

#include "serve/fwd_internal.h"

/* Minimum time between two log lines of denied retries of one service. */
#define DENIED_LOG_US 500000

static void
log_budget(struct fwd_req *r, const char *outcome)
{
	const struct spend_conf *conf = &r->fwd->conf.budget;
	struct spend *s = &r->service->budget;
	struct spend_usage usage = spend_usage(s, conf, fwd_now(r));

	evt(EVT_BUDGET,
	    "req=%s service=%s outcome=%s left=%.1f retries=%u requests=%u "
	    "slack=%.1f sharers=%u denied=%u",
	    r->id, r->service->targets->name, outcome,
	    spend_remaining(s, conf, fwd_now(r)), usage.extra, usage.requests,
	    conf->usable * conf->slack / MAX(1, conf->processes),
	    conf->processes, r->service->denied);
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
	return true;
}
