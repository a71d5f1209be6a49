/* Complete nodes on loopback, with a small in-memory object API. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "agree/agree.h"
#include "objects.h"

#define LEASE_MS 1500

#define NODES 4
#define PATIENCE_MS 20000

static const uint8_t key[] = "0123456789abcdef";
static const char root_yaml[] = "team: platform\n"
				"teams:\n"
				"  konya: {requests_s: 2000, queue: 4000}\n";
static const char konya_yaml[] = "team: konya\nlimits: {requests_s: %d}\n";

struct member {
	struct conn_node node;
	char id[16];
	char address[32];
	struct conn_server *server;
	struct plat *plat;
	struct agr *agr;
	struct agr_role *role;
	struct agr_fencing *fencing;
	bool ready;
	unsigned int changed, gained, lost;
	uint64_t fence;
};

static struct objects api;
static struct member nodes[NODES];
static const char *seeds[2];

static void
conn_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct member *n = ctx;

	if (n->agr == NULL || !agr_message(n->agr, c, m))
		conn_close(c);
}

static void
conn_closed(struct conn *c, const struct err *why, void *ctx)
{
}

static const struct conn_ops conn_ops = {
	.message = conn_message,
	.closed = conn_closed,
};

static const struct conn_ops *
accepted(struct conn *c, void **ctx_out, void *ctx)
{
	*ctx_out = ctx;
	return &conn_ops;
}

static void
on_branch(const struct inf_branch *branch, void *ctx)
{
	((struct member *)ctx)->changed++;
}

static void
on_ready(void *ctx)
{
	((struct member *)ctx)->ready = true;
}

static const struct agr_ops agr_ops = {
	.branch_changed = on_branch,
	.ready = on_ready,
};

static void
on_gained(struct agr_role *role, uint64_t fence, void *ctx)
{
	struct member *n = ctx;

	n->gained++;
	n->fence = fence;
}

static void
on_lost(struct agr_role *role, void *ctx)
{
	((struct member *)ctx)->lost++;
}

static const struct agr_role_ops role_ops = {
	.gained = on_gained,
	.lost = on_lost,
};

static void
start_node(int i, enum mem_kind kind)
{
	struct member *n = &nodes[i];
	struct agr_conf conf = {
		.seeds = seeds,
		.objects = api.server.base,
		.gossip_ms = 200,
		.suspect_ms = 500,
		.lease_ms = LEASE_MS,
		.seed = (uint64_t)i + 1,
		.node = &n->node,
	};
	struct err err = { 0 };

	memset(n, 0, sizeof(*n));
	g_snprintf(n->id, sizeof(n->id), "node-%d", i);
	n->node = (struct conn_node){
		.id = n->id,
		.key = key,
		.key_len = 16,
		.clock = clk_system(),
		.counters = ctr_set_new(),
		.timeline = tl_new(clk_system(), n->id),
	};
	n->server = conn_listen(&n->node, "127.0.0.1:0", accepted, n, NULL);
	assert_non_null(n->server);
	g_snprintf(n->address, sizeof(n->address), "127.0.0.1:%u",
	    conn_server_port(n->server));
	if (seeds[0] == NULL)
		seeds[0] = n->address;
	n->plat = plat_new(clk_system(), n->node.counters, n->node.timeline);
	conf.plat = n->plat;
	conf.self.kind = kind;
	g_strlcpy(conf.self.id, n->id, sizeof(conf.self.id));
	g_strlcpy(conf.self.address, n->address, sizeof(conf.self.address));
	g_snprintf(conf.self.domain, sizeof(conf.self.domain), "d%d", i % 3);
	n->agr = agr_new(&conf, &agr_ops, n, &err);
	if (n->agr == NULL)
		fail_msg("%s", err.message);
}

/* Stops a node as a crash would: it announces nothing. */
static void
stop_node(int i)
{
	struct member *n = &nodes[i];

	if (n->agr == NULL)
		return;
	agr_free(n->agr);
	agr_fencing_free(n->fencing);
	n->agr = NULL;
	conn_server_free(n->server);
	run_for(20);
	plat_free(n->plat);
	tl_free(n->node.timeline);
	ctr_set_free(n->node.counters);
}

static int
set_up(void **state)
{
	objects_start(&api);
	store(&api, "settings/platform", "op0", root_yaml);
	seeds[0] = NULL;
	memset(nodes, 0, sizeof(nodes));
	return 0;
}

static int
tear_down(void **state)
{
	int i;

	for (i = 0; i < NODES; i++)
		stop_node(i);
	objects_stop(&api);
	return 0;
}

/* Runs the loop until `holds(arg)`; fails the test after PATIENCE_MS. */
static void
run_until_holds(bool (*holds)(int arg), int arg)
{
	int waited;

	for (waited = 0; waited < PATIENCE_MS && !holds(arg); waited += 10)
		run_for(10);
	assert_true(holds(arg));
}

static void
count_member(const struct mem_member *member, void *ctx)
{
	++*(int *)ctx;
}

static bool
all_ready(int n)
{
	int i, members, ready = 0;

	for (i = 0; i < NODES; i++) {
		if (nodes[i].agr == NULL)
			continue;
		members = 0;
		agr_each_member(nodes[i].agr, count_member, &members);
		ready += members == n && agr_is_ready(nodes[i].agr);
	}
	return ready == n;
}

static bool
konya_everywhere(int version)
{
	const struct inf_branch *b;
	int i;

	for (i = 0; i < NODES; i++) {
		if (nodes[i].agr == NULL)
			continue;
		b = agr_branch(nodes[i].agr, "konya");
		if (b == NULL || b->version != (uint64_t)version)
			return false;
	}
	return true;
}

static bool
all_active(int n)
{
	struct agr_active_count f;
	size_t overdue;

	agr_active_count(nodes[0].agr, &f, NULL, 0, &overdue);
	return f.nodes == (unsigned)n && f.active == (unsigned)n;
}

struct written {
	bool done;
	enum err_code code;
	uint64_t version, now_version;
};

static void
on_set(uint64_t version, const struct obj_object *now, const struct err *err,
    void *ctx)
{
	struct written *w = ctx;

	w->done = true;
	w->version = version;
	w->code = err == NULL ? ERR_NONE : err->code;
	w->now_version = now == NULL ? 0 : now->version;
}

static struct written
set_konya(int node, int requests_s, uint64_t if_version)
{
	struct written w = { 0 };
	char *yaml = g_strdup_printf(konya_yaml, requests_s);
	char op[OBJ_OP_MAX];

	g_snprintf(op, sizeof(op), "op-%d-%d", node, requests_s);
	agr_set_branch(
	    nodes[node].agr, "konya", yaml, if_version, op, on_set, &w);
	g_free(yaml);
	run_until(&w.done);
	return w;
}

/*
 * A change made through one node becomes active on all. A second write against
 * the old version fails and returns the present version. A write beyond the
 * root branch's limits is rejected before it is sent.
 */
static void
test_change_becomes_active_everywhere(void **state)
{
	struct written w;
	unsigned int writes;
	int i;

	for (i = 0; i < NODES; i++)
		start_node(i, i < 2 ? MEM_GATEWAY : MEM_SIDECAR);
	run_until_holds(all_ready, NODES);
	w = set_konya(0, 100, 0);
	assert_int_equal(w.code, ERR_NONE);
	assert_int_equal(w.version, 1);
	assert_int_equal(agr_branch(nodes[0].agr, "konya")->version, 1);
	run_until_holds(konya_everywhere, 1);
	run_until_holds(all_active, NODES);
	w = set_konya(1, 200, 0);
	assert_int_equal(w.code, ERR_CONFLICT);
	assert_int_equal(w.now_version, 1);
	writes = api.writes;
	w = set_konya(1, 5000, 1); /* more than the root branch allows */
	assert_int_equal(w.code, ERR_INVALID);
	assert_int_equal(api.writes, writes);
	w = set_konya(1, 200, 1);
	assert_int_equal(w.code, ERR_NONE);
	run_until_holds(konya_everywhere, 2);
}

/*
 * A broken text is written without our validation. It is counted as refused,
 * the active version stays, and the next valid one is accepted.
 */
static void
test_invalid_branch_is_refused(void **state)
{
	start_node(0, MEM_GATEWAY);
	start_node(1, MEM_SIDECAR);
	run_until_holds(all_ready, 2);
	set_konya(0, 100, 0);
	run_until_holds(konya_everywhere, 1);
	store(&api, "settings/konya", "x", "team: konya\nnonsense: 1\n");
	run_for(500);
	assert_true(konya_everywhere(1));
	assert_true(
	    ctr_read(nodes[0].node.counters, "agree_refused_branches") > 0);
	set_konya(0, 300, 2);
	run_until_holds(konya_everywhere, 3);
}

/* Guards against an object of another writer beside the settings that keeps all
 * processes from being ready when they start again. */
static void
test_odd_object_at_start(void **state)
{
	store(&api, "settings/odd", NULL, "7");
	start_node(0, MEM_GATEWAY);
	start_node(1, MEM_SIDECAR);
	run_until_holds(all_ready, 2);
	set_konya(0, 100, 0);
	run_until_holds(konya_everywhere, 1);
}

/*
 * The API is unavailable when a node starts. With peers that have the settings
 * the node becomes ready. Without them it must not: it would know no workspace.
 */
static void
test_api_down_at_start(void **state)
{
	int i;

	for (i = 0; i < 3; i++)
		start_node(i, MEM_GATEWAY);
	run_until_holds(all_ready, 3);
	set_konya(0, 100, 0);
	run_until_holds(konya_everywhere, 1);
	objects_down(&api, true);
	start_node(3, MEM_SIDECAR);
	run_until_holds(all_ready, 4);
	assert_int_equal(agr_branch(nodes[3].agr, "konya")->version, 1);
	for (i = 0; i < NODES; i++)
		stop_node(i);
	seeds[0] = NULL;
	start_node(0, MEM_GATEWAY);
	start_node(1, MEM_GATEWAY);
	run_for(3000); /* longer than the deadline of the list call */
	assert_false(agr_is_ready(nodes[0].agr));
	assert_false(agr_is_ready(nodes[1].agr));
	objects_down(&api, false);
	run_until_holds(all_ready, 2);
	run_until_holds(konya_everywhere, 1);
}

static int
holder(void)
{
	int i, found = -1;

	for (i = 0; i < NODES; i++) {
		if (nodes[i].role == NULL || agr_role_fence(nodes[i].role) == 0)
			continue;
		assert_int_equal(found, -1);
		found = i;
	}
	return found;
}

static bool
other_holds(int before)
{
	return holder() >= 0 && holder() != before;
}

static bool
fencing_passes(int fence)
{
	return agr_fencing_check(
	    nodes[3].fencing, "rollout", (uint64_t)fence, NULL);
}

/*
 * A gateway holds the role. It leaves, then its successor crashes: each time
 * another one takes over with a higher number, and the sidecar rejects orders
 * with the old number. It must do so also after a restart without state, and
 * also if only the members know the number because the API is unavailable.
 */
static void
test_role_moves_and_stale_orders_are_rejected(void **state)
{
	struct err err = { 0 };
	int i, first, second;
	int64_t restarted_us;

	for (i = 0; i < NODES; i++)
		start_node(i, i < 3 ? MEM_GATEWAY : MEM_SIDECAR);
	run_until_holds(all_ready, NODES);
	for (i = 0; i < 3; i++)
		nodes[i].role = agr_role_join(
		    nodes[i].agr, "rollout", &role_ops, &nodes[i]);
	nodes[3].fencing = agr_fencing_new(nodes[3].agr);
	run_until_holds(other_holds, -1);
	first = holder();
	assert_int_equal(nodes[first].fence, 1);
	assert_false(agr_fencing_check(nodes[3].fencing, "rollout", 1, &err));
	assert_int_equal(err.code, ERR_UNAVAILABLE);
	run_until_holds(fencing_passes, 1);

	agr_role_leave(nodes[first].role);
	nodes[first].role = NULL;
	run_until_holds(other_holds, first);
	second = holder();
	assert_int_equal(nodes[second].fence, 2);
	run_until_holds(fencing_passes, 2);
	assert_false(agr_fencing_check(nodes[3].fencing, "rollout", 1, &err));
	assert_int_equal(err.code, ERR_STALE_FENCE);

	nodes[second].role = NULL;
	stop_node(second);
	run_until_holds(other_holds, second);
	assert_int_equal(nodes[holder()].fence, 3);
	assert_int_equal(api.refused, 0);

	/* An order may arrive before the note about its holder. */
	assert_true(fencing_passes(4));
	assert_false(fencing_passes(3));

	stop_node(3);
	objects_down(&api, true);
	start_node(3, MEM_SIDECAR);
	restarted_us = g_get_monotonic_time();
	nodes[3].fencing = agr_fencing_new(nodes[3].agr);
	run_until_holds(fencing_passes, 3);
	/* Without the object API the floor comes from the members, and only
	 * after a lease duration: by then gossip has reached all of them. */
	assert_true(g_get_monotonic_time() - restarted_us >=
	    LEASE_MS * G_USEC_PER_SEC / 1000);
	assert_false(agr_fencing_check(nodes[3].fencing, "rollout", 2, &err));
	assert_int_equal(err.code, ERR_STALE_FENCE);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_change_becomes_active_everywhere, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_invalid_branch_is_refused, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_odd_object_at_start, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_api_down_at_start, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
		    test_role_moves_and_stale_orders_are_rejected, set_up,
		    tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
