/*
 * Callers that keep their connections and use them all at once, after idling
 * for most of the limit: a gateway that was held up meanwhile finds hundreds of
 * requests together with idle times that are over. No route takes the requests,
 * so that they cost no engine anything.
 */

#include "fleet.h"

/* Of the idle limit, from one round to the next. */
#define ROUND_PERCENT 76

struct crowd {
	struct evl_timer next;
	struct fleet *f;
	size_t gateway;
	unsigned int open; /* requests without an answer */
};

static struct crowd crowds[FLEET_GATEWAYS_MAX];

static void
on_done(struct fleet_call *c, void *ctx)
{
	struct crowd *crowd = ctx;

	crowd->open--;
	crowd->f->tally.crowd_answered += c->answer.complete;
}

static void
start_request(struct crowd *crowd)
{
	struct fleet *f = crowd->f;
	char *id =
	    g_strdup_printf("k-%u-g%zu", f->tally.crowd_sent++, crowd->gateway);
	char *text =
	    g_strdup_printf("GET /none/ HTTP/1.1\r\nHost: a.example\r\n"
			    "X-Attempt-Id: %s\r\n\r\n",
		id);

	crowd->open++;
	fleet_call_start(f,
	    &(struct fleet_call_conf){ .gateway = crowd->gateway,
		.id = id,
		.request = text,
		.crowd = true,
		.done = on_done,
		.ctx = crowd });
	g_free(id);
	g_free(text);
}

static void
on_round(struct evl_timer *t)
{
	struct crowd *crowd = CONTAINER_OF(t, struct crowd, next);
	struct fleet *f = crowd->f;

	if (f->stopping)
		return;
	while (crowd->open < f->crowd)
		start_request(crowd);
	evl_timer_set(f->loop, t,
	    evl_now_us(f->loop) +
		fleet_settings_safe_idle_us() * ROUND_PERCENT / 100);
}

void
fleet_crowds_start(struct fleet *f)
{
	size_t i;

	for (i = 0; f->crowd > 0 && i < f->ngateways; i++) {
		crowds[i] = (struct crowd){
			.next.fire = on_round, .f = f, .gateway = i
		};
		evl_timer_set(f->loop, &crowds[i].next, evl_now_us(f->loop));
	}
}
