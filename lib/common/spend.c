/* One process's share of a retry budget. */

#include <glib.h>
#include <string.h>

#include "common/spend.h"

static int64_t
slot_us(const struct spend_conf *conf)
{
	return conf->window_us / SPEND_WINDOW_SLOTS;
}

/* Index of the slot that is `age` slots older than the current one. */
static int
slot_index(const struct spend *s, int64_t age)
{
	int64_t i = (s->slot - age) % SPEND_SLOTS;

	return (int)(i < 0 ? i + SPEND_SLOTS : i);
}

static void
clear_slot(struct spend_counts *counts, int i)
{
	counts->requests[i] = 0;
	counts->extra[i] = 0;
}

/* Clears the slots that have expired since the last call. */
static void
advance(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	int64_t slot = (now_us - s->origin_us) / slot_us(conf);

	if (slot - s->slot >= SPEND_SLOTS) {
		memset(&s->own, 0, sizeof(s->own));
		memset(&s->inherited, 0, sizeof(s->inherited));
		s->slot = slot;
	}
	while (s->slot < slot) {
		s->slot++;
		clear_slot(&s->own, slot_index(s, 0));
		clear_slot(&s->inherited, slot_index(s, 0));
	}
}

void
spend_request(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	advance(s, conf, now_us);
	s->own.requests[slot_index(s, 0)]++;
}

void
spend_add(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	advance(s, conf, now_us);
	s->own.extra[slot_index(s, 0)]++;
}

double
spend_slack(const struct spend_conf *conf)
{
	return conf->processes == 0 ? 0 : conf->slack / conf->processes;
}

struct spend_usage
spend_usage(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	struct spend_usage usage = { 0 };
	int i;

	advance(s, conf, now_us);
	for (i = 0; i < SPEND_SLOTS; i++) {
		usage.requests += s->own.requests[i] + s->inherited.requests[i];
		usage.extra += s->own.extra[i] + s->inherited.extra[i];
	}
	usage.remaining =
	    conf->ratio * usage.requests + spend_slack(conf) - usage.extra;
	return usage;
}

double
spend_remaining(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	return spend_usage(s, conf, now_us).remaining;
}

bool
spend_take(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	if (spend_remaining(s, conf, now_us) < 1)
		return false;
	spend_add(s, conf, now_us);
	return true;
}

/* ------------------------------------------------------------------ */
/* Copies                                                              */
/* ------------------------------------------------------------------ */

/* Time since the current slot began. */
static int64_t
phase_us(const struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	return (now_us - s->origin_us) % slot_us(conf);
}

void
spend_export(struct spend *s, const struct spend_conf *conf, int64_t now_us,
    struct spend_copy *out)
{
	int age, i;

	advance(s, conf, now_us);
	out->phase_us = phase_us(s, conf, now_us);
	for (age = 0; age < SPEND_SLOTS; age++) {
		i = slot_index(s, age);
		out->counts.requests[age] =
		    s->own.requests[i] + s->inherited.requests[i];
		out->counts.extra[age] =
		    s->own.extra[i] + s->inherited.extra[i];
	}
}

/* Adds the counts of slot `from`, in `in`, to those that are `age` slots old. */
static void
add_slot(struct spend *s, struct spend_counts *out, int64_t age,
    const struct spend_counts *in, int from)
{
	int to = slot_index(s, age);

	out->requests[to] += in->requests[from];
	out->extra[to] += in->extra[from];
}

/* Lets the current slot have begun `phase` ago. The own counts become younger
 * by up to a slot, so that none expires too early. */
static void
set_phase(struct spend *s, const struct spend_conf *conf, int64_t now_us,
    int64_t phase)
{
	struct spend before = *s;
	int age;

	s->slot = SPEND_SLOTS;
	s->origin_us = now_us - phase - s->slot * slot_us(conf);
	memset(&s->own, 0, sizeof(s->own));
	for (age = 0; age < SPEND_SLOTS; age++)
		add_slot(s, &s->own, MAX(0, age - 1), &before.own,
		    slot_index(&before, age));
}

void
spend_inherit(struct spend *s, const struct spend_conf *conf, int64_t now_us,
    const struct spend_copy *copy, int64_t age_us)
{
	int64_t since_us = copy->phase_us + age_us;
	int64_t age = since_us / slot_us(conf);
	int slot;

	advance(s, conf, now_us);
	set_phase(s, conf, now_us, since_us % slot_us(conf));
	memset(&s->inherited, 0, sizeof(s->inherited));
	for (slot = 0; slot + age < SPEND_SLOTS; slot++)
		add_slot(s, &s->inherited, slot + age, &copy->counts, slot);
}
