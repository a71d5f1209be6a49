/* Claims: all faults in any order. */

#include "claim_world.h"

#define KEYS 4
#define TRIES 12
#define STEPS 400
#define SEEDS 400

/* What really happened to each key. */
struct truth {
	unsigned int runs;
};

struct mix {
	struct world w;
	struct rng rng;
	struct truth truth[KEYS];
	struct try t[TRIES];
	char asker[TRIES][16];
	int key[TRIES];
	unsigned int at[TRIES]; /* the owner asked */
	unsigned int by[TRIES]; /* the entry that asks */
	unsigned int names;
	char *late; /* a write whose answer was lost, still on its way */
	uint64_t late_if;
};

static const char *const mix_keys[KEYS] = { "a", "b", "c", "d" };

/* The asker heard: it runs the request, and maybe says how it ended. */
static void
mix_granted(struct mix *m, unsigned int i)
{
	struct truth *truth = &m->truth[m->key[i]];
	unsigned int say = (unsigned int)rng_below(&m->rng, 4);

	if (say == 0) { /* refused by the target */
		settle(&m->w, m->at[i], mix_keys[m->key[i]], m->asker[i],
		    VERDICT_NOT_RUN);
		return;
	}
	truth->runs++;
	assert_int_equal(truth->runs, 1);
	if (say != 1)
		settle(&m->w, m->at[i], mix_keys[m->key[i]], m->asker[i],
		    say == 2 ? VERDICT_RAN : VERDICT_MAY_HAVE_RUN);
}

static void
mix_answer(struct mix *m, unsigned int i)
{
	struct try *t = &m->t[i];

	if (t->result == PENDING || m->w.owner[m->by[i]].clm == NULL)
		return;
	if (t->result == CLM_GRANTED)
		mix_granted(m, i);
	else if (t->result == CLM_RECORDED)
		assert_int_equal(m->truth[m->key[i]].runs, 1);
	t->result = PENDING;
	m->key[i] = -1;
}

static void
mix_ask(struct mix *m, unsigned int i)
{
	bool again = m->key[i] >= 0;

	m->at[i] = (unsigned int)rng_below(&m->rng, OWNERS);
	if (m->w.owner[m->at[i]].clm == NULL)
		return;
	if (again) { /* the answer was lost: asked again, maybe elsewhere */
		clm_forget(&m->t[i].ask);
	} else {
		m->key[i] = (int)rng_below(&m->rng, KEYS);
		m->by[i] = (unsigned int)rng_below(&m->rng, OWNERS);
		g_snprintf(m->asker[i], 16, "e%u/%u", m->by[i], m->names++);
	}
	ask(&m->w, m->at[i], &m->t[i], mix_keys[m->key[i]], m->asker[i], "b");
}

static void
mix_write(struct mix *m, struct owner *o)
{
	if (o->writes == NULL)
		return;
	switch (rng_below(&m->rng, 4)) {
	case 0:
		g_free(m->late);
		m->late = g_strdup(o->writes);
		m->late_if = o->if_version;
		lose_answer(o, false);
		return;
	case 1:
		if (o->if_version == m->w.version) {
			lose_answer(o, true);
			return;
		}
		break;
	}
	serve_write(o);
}

/* An entry ends, with all that it has not said, and begins anew. */
static void
mix_restart(struct mix *m, unsigned int o)
{
	unsigned int i;

	stop_owner(&m->w, o);
	for (i = 0; i < TRIES; i++) {
		if (m->key[i] >= 0 && (m->at[i] == o || m->by[i] == o)) {
			clm_forget(&m->t[i].ask);
			m->key[i] = -1;
		}
		m->t[i].result = PENDING;
	}
	start_owner(&m->w, o);
}

static void
mix_step(struct mix *m)
{
	unsigned int i = (unsigned int)rng_below(&m->rng, OWNERS);
	struct owner *o = &m->w.owner[i];

	switch (rng_below(&m->rng, 16)) {
	case 0:
		m->w.down = !m->w.down;
		break;
	case 1:
		o->live = !o->live;
		break;
	case 2:
		if (rng_below(&m->rng, 8) == 0)
			mix_restart(m, i);
		break;
	case 3:
		if (m->late != NULL)
			land(&m->w, m->late, m->late_if);
		break;
	case 4:
		m->w.now_us += (int64_t)rng_below(&m->rng, 3000) * MS;
		break;
	case 5:
		clm_give_up(o->clm, m->w.now_us);
		break;
	case 6:
	case 7:
	case 8:
		mix_ask(m, (unsigned int)rng_below(&m->rng, TRIES));
		break;
	case 9:
	case 10:
		mix_write(m, o);
		break;
	default:
		serve_read(o);
		pass(&m->w, (int64_t)rng_below(&m->rng, 30));
	}
	for (i = 0; i < TRIES; i++)
		mix_answer(m, i);
}

/*
 * Three entries, each an owner when asked, with lost answers, late writes,
 * pauses, wrong suspicions, restarts and outages in any order: no key runs
 * twice, and none is said to have run that did not.
 */
static void
test_mix(void **state)
{
	struct mix *m = g_new0(struct mix, 1);
	unsigned int seed, i, ran = 0;

	for (seed = 0; seed < SEEDS; seed++) {
		memset(m, 0, sizeof(*m));
		open_world(&m->w);
		rng_seed(&m->rng, seed);
		for (i = 0; i < TRIES; i++) {
			m->key[i] = -1;
			m->t[i].result = PENDING;
		}
		for (i = 0; i < STEPS; i++)
			mix_step(m);
		for (i = 0; i < KEYS; i++)
			ran += m->truth[i].runs;
		g_free(m->late);
		close_world(&m->w);
	}
	assert_in_range(ran, SEEDS, SEEDS * KEYS); /* the mix does run some */
	g_free(m);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mix),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
