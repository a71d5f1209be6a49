/* Claims: randomized sequences of all faults. */

#include "claim_world.h"

#define KEYS 4
#define REQUESTS 12
#define STEPS 400
#define SEEDS 400

struct mix {
	struct sim sim;
	struct rng rng;
	unsigned int runs[KEYS]; /* actual runs of each key */
	struct request t[REQUESTS];
	char claimant[REQUESTS][16];
	int key[REQUESTS];
	unsigned int at[REQUESTS]; /* owner that received the request */
	unsigned int by[REQUESTS]; /* gateway that sent it */
	unsigned int names;
	char *late; /* write that may still apply after its answer was lost */
	uint64_t late_if;
};

static const char *const mix_keys[KEYS] = { "a", "b", "c", "d" };

/* The claimant received its grant: runs the request, and may report it. */
static void
mix_granted(struct mix *m, unsigned int i)
{
	unsigned int *runs = &m->runs[m->key[i]];
	unsigned int report = (unsigned int)rng_below(&m->rng, 4);

	if (report == 0) { /* refused by the target */
		settle(&m->sim, m->at[i], mix_keys[m->key[i]], m->claimant[i],
		    VERDICT_NOT_RUN);
		return;
	}
	(*runs)++;
	assert_int_equal(*runs, 1);
	if (report != 1)
		settle(&m->sim, m->at[i], mix_keys[m->key[i]], m->claimant[i],
		    report == 2 ? VERDICT_RAN : VERDICT_MAY_HAVE_RUN);
}

static void
mix_answer(struct mix *m, unsigned int i)
{
	struct request *t = &m->t[i];

	if (t->result == PENDING || m->sim.owner[m->by[i]].clm == NULL)
		return;
	if (t->result == CLM_GRANTED)
		mix_granted(m, i);
	else if (t->result == CLM_RECORDED)
		assert_int_equal(m->runs[m->key[i]], 1);
	t->result = PENDING;
	m->key[i] = -1;
}

static void
mix_request(struct mix *m, unsigned int i)
{
	bool again = m->key[i] >= 0;

	m->at[i] = (unsigned int)rng_below(&m->rng, OWNERS);
	if (m->sim.owner[m->at[i]].clm == NULL)
		return;
	if (again) { /* the answer was lost: retried, at any owner */
		clm_cancel(&m->t[i].base);
	} else {
		m->key[i] = (int)rng_below(&m->rng, KEYS);
		m->by[i] = (unsigned int)rng_below(&m->rng, OWNERS);
		g_snprintf(m->claimant[i], 16, "e%u/%u", m->by[i], m->names++);
	}
	request_claim(&m->sim, m->at[i], &m->t[i], mix_keys[m->key[i]],
	    m->claimant[i], "b");
}

static void
mix_write(struct mix *m, struct owner *o)
{
	if (o->write_value == NULL)
		return;
	switch (rng_below(&m->rng, 4)) {
	case 0:
		g_free(m->late);
		m->late = g_strdup(o->write_value);
		m->late_if = o->if_version;
		lose_answer(o, false);
		return;
	case 1:
		if (o->if_version == m->sim.version) {
			lose_answer(o, true);
			return;
		}
		break;
	}
	complete_write(o);
}

/* A gateway restarts and loses its unreported state. */
static void
mix_restart(struct mix *m, unsigned int o)
{
	unsigned int i;

	stop_owner(&m->sim, o);
	for (i = 0; i < REQUESTS; i++) {
		if (m->key[i] >= 0 && (m->at[i] == o || m->by[i] == o)) {
			clm_cancel(&m->t[i].base);
			m->key[i] = -1;
		}
		m->t[i].result = PENDING;
	}
	start_owner(&m->sim, o);
}

static void
mix_step(struct mix *m)
{
	unsigned int i = (unsigned int)rng_below(&m->rng, OWNERS);
	struct owner *o = &m->sim.owner[i];

	switch (rng_below(&m->rng, 16)) {
	case 0:
		m->sim.down = !m->sim.down;
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
			apply_write(&m->sim, m->late, m->late_if);
		break;
	case 4:
		m->sim.now_us += (int64_t)rng_below(&m->rng, 3000) * MS;
		break;
	case 5:
		clm_release(o->clm, m->sim.now_us);
		break;
	case 6:
	case 7:
	case 8:
		mix_request(m, (unsigned int)rng_below(&m->rng, REQUESTS));
		break;
	case 9:
	case 10:
		mix_write(m, o);
		break;
	default:
		complete_read(o);
		advance(&m->sim, (int64_t)rng_below(&m->rng, 30));
	}
	for (i = 0; i < REQUESTS; i++)
		mix_answer(m, i);
}

/*
 * Three gateways, all of which may own the bucket, with random lost answers,
 * late writes, pauses, wrong suspicions, restarts and outages: no key runs
 * twice, and none that did not run is answered CLM_RECORDED.
 */
static void
test_mix(void **state)
{
	struct mix *m = g_new0(struct mix, 1);
	unsigned int seed, i, ran = 0;

	for (seed = 0; seed < SEEDS; seed++) {
		memset(m, 0, sizeof(*m));
		sim_init(&m->sim);
		rng_seed(&m->rng, seed);
		for (i = 0; i < REQUESTS; i++) {
			m->key[i] = -1;
			m->t[i].result = PENDING;
		}
		for (i = 0; i < STEPS; i++)
			mix_step(m);
		for (i = 0; i < KEYS; i++)
			ran += m->runs[i];
		g_free(m->late);
		sim_free(&m->sim);
	}
	/* The sequences do run requests. */
	assert_in_range(ran, SEEDS, SEEDS * KEYS);
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
