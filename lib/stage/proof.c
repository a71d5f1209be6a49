/* Whether an engine's weights were loaded from valid chunks. */

#include "stage/proof.h"

static bool
is_empty(const struct prf_weights *w)
{
	return w->version == 0 || w->from >= w->to;
}

static bool
overlaps(const struct prf_weights *a, const struct prf_weights *b)
{
	return a->version == b->version &&
	    MAX(a->from, b->from) < MIN(a->to, b->to);
}

static bool
contains(const struct prf_weights *whole, const struct prf_weights *part)
{
	return whole->version == part->version && whole->from <= part->from &&
	    part->to <= whole->to;
}

static bool
same_weights(const struct prf_weights *a, const struct prf_weights *b)
{
	return a->version == b->version && a->from == b->from && a->to == b->to;
}

/* ------------------------------------------------------------------ */
/* Reports                                                             */
/* ------------------------------------------------------------------ */

/* A read-back proves nothing where chunks were written after the load. */
static void
note_unproved(struct prf *p)
{
	p->unproved = true;
	p->unprovable = p->rewritten || p->write_in_doubt;
	p->in_doubt = false;
	p->reading = false;
	p->proved = (struct prf_weights){ 0 };
}

/* What the process before this one doubted: weights that it knew to be proved
 * stay so until an order of its own takes effect. */
static void
apply_doubt(struct prf *p, const struct prf_weights *held, bool busy)
{
	if (!busy && (is_empty(held) || held->version == p->doubt_proved)) {
		p->in_doubt = true;
		return;
	}
	note_unproved(p);
	p->unprovable = true;
}

/* What the first report shows was loaded by orders of an earlier process. It is
 * taken for proved unless one of them may just have taken effect late. */
static void
note_first(struct prf *p, const struct prf_report *r)
{
	p->known = true;
	p->sequence = r->sequence;
	p->proved = r->held;
	if (r->busy || r->was_silent)
		note_unproved(p);
	if (p->doubted)
		apply_doubt(p, &r->held, r->busy);
}

void
prf_doubted(struct prf *p, int64_t proved)
{
	if (p->doubted)
		return;
	p->doubted = true;
	p->doubt_proved = proved;
	if (p->known)
		apply_doubt(p, &p->held, p->busy);
}

/* Whether the report is from before the answer to the last order. */
static bool
is_outdated(const struct prf *p, const struct prf_report *r)
{
	return p->answered_us != 0 && r->requested_us < p->answered_us &&
	    r->sequence < p->sequence;
}

/* Whether it shows that the order in flight has begun. */
static bool
is_ahead(const struct prf *p, const struct prf_report *r)
{
	return p->in_flight && r->sequence != PRF_NO_SEQUENCE &&
	    r->sequence == p->order_sequence + 1;
}

/* Whether an order has taken effect that was not known to have begun. */
static bool
shows_other_order(const struct prf *p, const struct prf_report *r)
{
	if (r->sequence != p->sequence)
		return true;
	return r->sequence == PRF_NO_SEQUENCE && p->in_doubt &&
	    (r->busy || !same_weights(&r->held, &p->held));
}

static void
note_layers(struct prf *p)
{
	if (is_empty(&p->held) || p->held.to == UINT_MAX)
		return;
	if (p->held.version != p->most_version)
		p->most = 0;
	p->most_version = p->held.version;
	p->most = MAX(p->most, p->held.to);
}

void
prf_reported(struct prf *p, const struct prf_report *r)
{
	if (p->known && is_outdated(p, r))
		return;
	p->ahead = p->known && is_ahead(p, r);
	if (p->ahead)
		return;
	if (!p->known)
		note_first(p, r);
	else if (shows_other_order(p, r))
		note_unproved(p);
	p->sequence = r->sequence;
	p->held = r->held;
	p->busy = r->busy;
	note_layers(p);
	if (is_empty(&r->held) && !r->busy)
		p->unproved = p->unprovable = false;
}

void
prf_restarted(struct prf *p)
{
	if (!p->known)
		return;
	/* Its connections ended with the process, and what was sent on them. */
	*p = (struct prf){ .known = true, .sequence = INT64_MIN };
	note_unproved(p);
}

void
prf_read_back_begun(struct prf *p)
{
	p->reading = prf_needs_read_back(p);
}

void
prf_read_back_ended(struct prf *p, bool valid)
{
	if (!p->reading)
		return;
	p->reading = false;
	p->unprovable = !valid;
	if (!valid)
		return;
	p->unproved = false;
	p->proved = p->held;
}

void
prf_write_sent(struct prf *p)
{
	p->rewritten = true;
	p->unprovable = p->unproved;
}

void
prf_write_in_doubt(struct prf *p)
{
	p->write_in_doubt = true;
}

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

int64_t
prf_order_sent(struct prf *p, const struct prf_order *order)
{
	p->order = *order;
	p->order_sequence = p->sequence;
	p->in_flight = true;
	p->rewritten_before = p->rewritten;
	if (!p->unproved && !p->in_doubt)
		p->rewritten = false;
	return p->sequence;
}

static bool
was_in_time(const struct prf *p, int64_t now_us)
{
	return now_us - p->order.checked_us <= PRF_TOLERANCE_US;
}

/* Whether layers without a proof stay beside those that the order loads. */
static bool
keeps_unproved(const struct prf *p)
{
	struct prf_weights kept = p->order.weights;

	if (!overlaps(&p->held, &p->order.weights))
		return false;
	kept.from = MAX(kept.from, p->held.from);
	kept.to = MIN(kept.to, p->held.to);
	return p->unproved || !contains(&p->proved, &kept);
}

static void
note_begun(struct prf *p, int64_t now_us)
{
	bool kept = keeps_unproved(p);

	note_unproved(p);
	if (p->order_sequence != PRF_NO_SEQUENCE)
		p->sequence = p->order_sequence + 1;
	p->busy = true;
	if (kept)
		p->unprovable = true;
	if (kept || !was_in_time(p, now_us))
		return;
	/* A late write may have replaced a chunk after the check; what it
	 * spoilt stays so until the next write. */
	p->unproved = p->write_in_doubt;
	p->unprovable = false;
	if (!p->unproved)
		p->proved = p->order.weights;
}

void
prf_order_answered(struct prf *p, enum prf_outcome outcome, int64_t now_us)
{
	bool ahead = p->ahead;

	p->answered_us = now_us;
	p->has_begun = outcome == PRF_BEGUN;
	p->in_flight = p->ahead = false;
	if (outcome == PRF_BEGUN) {
		note_begun(p, now_us);
		return;
	}
	if (outcome == PRF_UNKNOWN)
		p->in_doubt = true;
	/* Another order may have begun, before the last writes. */
	else if (p->rewritten_before)
		p->rewritten = true;
	if (!ahead)
		return;
	note_unproved(p);
	p->sequence = p->order_sequence + 1;
}

/* ------------------------------------------------------------------ */
/* Queries                                                             */
/* ------------------------------------------------------------------ */

unsigned int
prf_layers(const struct prf *p, int64_t version, unsigned int layers)
{
	if (layers > 0)
		return layers;
	return p->most_version == version ? p->most : 0;
}

int64_t
prf_usable(const struct prf *p, unsigned int layers)
{
	unsigned int n = prf_layers(p, p->held.version, layers);

	if (p->unproved || p->ahead || is_empty(&p->held) ||
	    !contains(&p->proved, &p->held))
		return 0;
	if (p->held.from != 0 || p->held.to < n)
		return 0;
	return p->held.version;
}

bool
prf_is_uncertain(const struct prf *p)
{
	return p->unproved || p->ahead || p->in_doubt || p->in_flight;
}

bool
prf_has_loaded(const struct prf *p)
{
	return p->has_begun && !p->busy && p->held.version != 0 &&
	    same_weights(&p->held, &p->order.weights);
}

bool
prf_needs_read_back(const struct prf *p)
{
	return p->unproved && !p->unprovable && !p->busy && !is_empty(&p->held);
}

struct prf_weights
prf_next(const struct prf *p, int64_t version, unsigned int layers)
{
	unsigned int known = prf_layers(p, version, layers);
	unsigned int n = known > 0 ? known : p->held.to;
	struct prf_weights all = { version, 0, n > 0 ? n : UINT_MAX };
	struct prf_weights lower = { version, 0, n / 2 };
	struct prf_weights upper = { version, n / 2, n };

	if (n < 2 || n == UINT_MAX || p->held.version != version ||
	    is_empty(&p->held))
		return all;
	if (!p->unproved && contains(&p->proved, &p->held))
		return all;
	return overlaps(&p->held, &lower) ? upper : lower;
}
