/*
 * One host of the weights bench: only the weights package behind a port, so
 * that a rollout is measured between real processes without gateways and
 * engines. Controlled by signals: SIGUSR1 requests the first version of the
 * versions file, SIGUSR2 the second, SIGHUP rereads the members file, SIGTERM
 * prints the counters and ends the process.
 */

#include <glib-unix.h>
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "weights/weights.h"

#define VERSIONS 2
#define TEXT_MAX 256

struct options {
	char *id, *domain, *origin, *key;
	char *members; /* file, each line `id address domain` */
	char *versions; /* file, each line `name root bytes chunk_bytes` */
	int64_t rate;
	int64_t memory;
	int64_t seed;
	int copies; /* read from the origin over all hosts; 0: never */
	int corrupt_permille; /* of the chunks that this host sends */
};

struct bench_node {
	struct options opt;
	struct conn_node self;
	struct conn_server *server;
	struct plat *plat;
	struct wts *wts;
	GMainLoop *loop;
	struct wts_version version[VERSIONS];
	int requested; /* index of the newest requested version; -1: none */
};

/* ------------------------------------------------------------------ */
/* Corruption in transit                                               */
/* ------------------------------------------------------------------ */

#define DATA_TYPE 44 /* lib/weights/proto.h: index, offset, load, bytes */

struct data_message {
	uint64_t index, offset, load;
	struct slice bytes;
};

static int corrupt_permille;
static struct rng corrupt_rng;

void __real_conn_send(
    struct conn *c, const struct msg_desc *desc, const void *message);
void __wrap_conn_send(
    struct conn *c, const struct msg_desc *desc, const void *message);

/* Replaces conn_send (linked with --wrap). */
void
__wrap_conn_send(
    struct conn *c, const struct msg_desc *desc, const void *message)
{
	struct data_message data;
	uint8_t *copy;

	if (desc->type != DATA_TYPE || corrupt_permille == 0) {
		__real_conn_send(c, desc, message);
		return;
	}
	data = *(const struct data_message *)message;
	if (data.offset != 0 ||
	    rng_below(&corrupt_rng, 1000) >= (uint64_t)corrupt_permille) {
		__real_conn_send(c, desc, message);
		return;
	}
	copy = g_memdup2(data.bytes.data, data.bytes.len);
	copy[data.bytes.len / 2] ^= 1;
	data.bytes.data = copy;
	__real_conn_send(c, desc, &data);
	g_free(copy);
}

/* ------------------------------------------------------------------ */
/* Files                                                               */
/* ------------------------------------------------------------------ */

static char **
read_lines(const char *path)
{
	GError *error = NULL;
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, &error))
		g_error("%s", error->message);
	g_strchomp(text);
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	return lines;
}

static void
read_versions(struct bench_node *b)
{
	char **lines = read_lines(b->opt.versions);
	int i;

	for (i = 0; i < VERSIONS && lines[i] != NULL; i++) {
		struct wts_version *v = &b->version[i];
		char **fields = g_strsplit(lines[i], " ", -1);

		if (g_strv_length(fields) != 4 ||
		    !digest_from_hex(fields[1], &v->root))
			g_error("malformed line: %s", lines[i]);
		snprintf(
		    v->weights, sizeof(v->weights), "%s.weights", fields[0]);
		snprintf(v->chunks, sizeof(v->chunks), "%s.chunks", fields[0]);
		v->bytes = g_ascii_strtoull(fields[2], NULL, 10);
		v->chunk_bytes = g_ascii_strtoull(fields[3], NULL, 10);
		g_strfreev(fields);
	}
	g_strfreev(lines);
}

static void
set_members(struct bench_node *b, const struct digest *root)
{
	char **lines = read_lines(b->opt.members);
	guint n = g_strv_length(lines);
	struct wts_peer *peers = g_new0(struct wts_peer, n + 1);
	char ***fields = g_new0(char **, n + 1);
	guint i;

	for (i = 0; i < n; i++) {
		fields[i] = g_strsplit(lines[i], " ", -1);
		if (g_strv_length(fields[i]) != 3)
			g_error("malformed line: '%s'", lines[i]);
		peers[i] = (struct wts_peer){ fields[i][0], fields[i][1],
			fields[i][2] };
	}
	wts_set_peers(b->wts, root, peers, n);
	for (i = 0; i < n; i++)
		g_strfreev(fields[i]);
	g_free(fields);
	g_free(peers);
	g_strfreev(lines);
}

/* ------------------------------------------------------------------ */
/* Versions                                                            */
/* ------------------------------------------------------------------ */

static uint64_t
resident_bytes(void)
{
	char *text = NULL;
	uint64_t pages = 0;

	if (g_file_get_contents("/proc/self/statm", &text, NULL, NULL))
		sscanf(text, "%*u %" SCNu64, &pages);
	g_free(text);
	return pages * 4096;
}

static void
print_state(struct bench_node *b, const char *event, int index)
{
	struct ctr_set *set = b->self.counters;
	struct wts_progress p = { 0 };
	int64_t payload = ctr_read(set, "wts_sent_bytes");

	if (index >= 0)
		wts_progress(b->wts, &b->version[index].root, &p);
	printf("%s id=%s version=%d at_ms=%" PRId64 " have=%" PRIu64 "/%" PRIu64
	       " origin_bytes=%" PRId64 " far_bytes=%" PRId64
	       " peer_bytes=%" PRId64 " control_bytes=%" PRId64
	       " late_bytes=%" PRId64 " stalls=%" PRId64 " busy=%" PRId64
	       " corrupt=%" PRId64 " out_of_turn=%" PRId64 " extra=%" PRId64
	       " rss=%" PRIu64 " held=%" PRIu64 " why=%s\n",
	    event, b->opt.id, index, g_get_real_time() / 1000, p.have, p.total,
	    ctr_read(set, "wts_origin_bytes"),
	    ctr_read(set, "wts_cross_domain_bytes"),
	    ctr_read(set, "wts_peer_bytes"),
	    ctr_read(set, "conn_sent_bytes") - payload,
	    ctr_read(set, "wts_late_bytes"), ctr_read(set, "wts_stalls"),
	    ctr_read(set, "wts_busy_answers"),
	    ctr_read(set, "wts_corrupt_from_peers") +
		ctr_read(set, "wts_corrupt_from_origin"),
	    ctr_read(set, "wts_reads_out_of_turn"),
	    ctr_read(set, "wts_extra_reads"), resident_bytes(),
	    p.have * (index < 0 ? 0 : b->version[index].chunk_bytes), p.why);
	fflush(stdout);
}

static int
index_of(const struct bench_node *b, const struct digest *root)
{
	int i;

	for (i = 0; i < VERSIONS; i++) {
		if (digest_equal(&b->version[i].root, root))
			return i;
	}
	return -1;
}

/* Digests the chunks again, as an engine on the host would load them. */
static bool
verify_chunks(struct bench_node *b, const struct wts_version *v)
{
	GByteArray *list = g_byte_array_new();
	struct digest root;
	uint64_t i;

	for (i = 0; i < wts_chunk_count(v); i++) {
		GBytes *chunk = wts_chunk(b->wts, &v->root, i);
		struct digest digest;
		gsize len;
		const void *data;

		g_assert(chunk != NULL);
		data = g_bytes_get_data(chunk, &len);
		digest_of(data, len, &digest);
		g_byte_array_append(list, digest.bytes, DIGEST_BYTES);
	}
	wts_root(v->bytes, v->chunk_bytes, list->data, list->len, &root);
	g_byte_array_unref(list);
	return digest_equal(&root, &v->root);
}

static void
on_phase(const struct wts_version *version, const struct wts_progress *progress,
    void *ctx)
{
	struct bench_node *b = ctx;
	int index = index_of(b, &version->root);

	if (progress->phase == WTS_NO_ROOM)
		print_state(b, "no_room", index);
	if (progress->phase != WTS_COMPLETE)
		return;
	print_state(b, "whole", index);
	if (!verify_chunks(b, version))
		print_state(b, "corrupt_loaded", index);
	if (index == 1)
		wts_drop(b->wts, &b->version[0].root);
}

static void
request_version(struct bench_node *b, int index)
{
	struct wts_progress old = { 0 };
	struct wts_want w = {
		.version = b->version[index],
		.policy = b->opt.copies == 0 ? WTS_PEERS_ONLY : WTS_TIME_FIRST,
		.origin_copies = (unsigned int)b->opt.copies,
	};
	struct err err;

	if (!wts_want(b->wts, &w, &err))
		g_error("%s", err.message);
	if (index == 1) {
		/* An incomplete version is superseded; a complete one is
		 * served until the next one is complete. */
		wts_progress(b->wts, &b->version[0].root, &old);
		if (old.phase != WTS_COMPLETE)
			wts_drop(b->wts, &b->version[0].root);
	}
	b->requested = index;
	set_members(b, &w.version.root);
}

static gboolean
on_first(gpointer data)
{
	request_version(data, 0);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_second(gpointer data)
{
	request_version(data, 1);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_members_changed(gpointer data)
{
	struct bench_node *b = data;
	int i;

	for (i = 0; i <= b->requested; i++)
		set_members(b, &b->version[i].root);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_term(gpointer data)
{
	struct bench_node *b = data;

	print_state(b, "end", b->requested);
	g_main_loop_quit(b->loop);
	return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ */
/* Connections                                                         */
/* ------------------------------------------------------------------ */

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct bench_node *b = ctx;

	wts_message(b->wts, c, m);
}

static void
on_drained(struct conn *c, void *ctx)
{
	struct bench_node *b = ctx;

	wts_drained(b->wts, c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct bench_node *b = ctx;

	if (b->wts != NULL)
		wts_closed(b->wts, c);
}

static const struct conn_ops accepted_ops = {
	.message = on_message,
	.drained = on_drained,
	.closed = on_closed,
};

static const struct conn_ops *
on_accepted(struct conn *c, void **ctx_out, void *ctx)
{
	*ctx_out = ctx;
	return &accepted_ops;
}

/* ------------------------------------------------------------------ */
/* Main                                                                */
/* ------------------------------------------------------------------ */

static void
parse(struct options *o, int argc, const char **argv)
{
	const struct poptOption table[] = { { "id", 0, POPT_ARG_STRING, &o->id,
						0, NULL, NULL },
		{ "domain", 0, POPT_ARG_STRING, &o->domain, 0, NULL, NULL },
		{ "origin", 0, POPT_ARG_STRING, &o->origin, 0, NULL, NULL },
		{ "members", 0, POPT_ARG_STRING, &o->members, 0, NULL, NULL },
		{ "versions", 0, POPT_ARG_STRING, &o->versions, 0, NULL, NULL },
		{ "rate", 0, POPT_ARG_LONGLONG, &o->rate, 0,
		    "link rate in bytes per second", NULL },
		{ "memory", 0, POPT_ARG_LONGLONG, &o->memory, 0, NULL, NULL },
		{ "seed", 0, POPT_ARG_LONGLONG, &o->seed, 0, NULL, NULL },
		{ "copies", 0, POPT_ARG_INT, &o->copies, 0,
		    "copies read from the origin over all hosts", NULL },
		{ "corrupt-permille", 0, POPT_ARG_INT, &o->corrupt_permille, 0,
		    "share of the sent chunks that is corrupted", NULL },
		POPT_AUTOHELP POPT_TABLEEND };
	poptContext context = poptGetContext(NULL, argc, argv, table, 0);
	int result = poptGetNextOpt(context);

	if (result < -1) {
		fprintf(stderr, "%s: %s\n",
		    poptBadOption(context, POPT_BADOPTION_NOALIAS),
		    poptStrerror(result));
		exit(2);
	}
	poptFreeContext(context);
	if (o->id == NULL || o->domain == NULL || o->origin == NULL ||
	    o->members == NULL || o->versions == NULL || o->rate <= 0) {
		fprintf(stderr, "weights_node: a required option is missing\n");
		exit(2);
	}
}

static void
start(struct bench_node *b)
{
	static const uint8_t key[] = "bench-weights-key";
	const struct wts_ops ops = { .phase = on_phase };
	struct err err;

	b->self = (struct conn_node){
		.id = b->opt.id,
		.key = key,
		.key_len = sizeof(key),
		.clock = clk_system(),
		.counters = ctr_set_new(),
	};
	b->plat = plat_new(b->self.clock, b->self.counters, NULL);
	b->server = conn_listen(&b->self, "127.0.0.1:0", on_accepted, b, &err);
	if (b->server == NULL)
		g_error("%s", err.message);
	b->wts = wts_new(
	    &(struct wts_conf){
		.id = b->opt.id,
		.domain = b->opt.domain,
		.origin = b->opt.origin,
		.download_bytes_s = (uint64_t)b->opt.rate,
		.upload_bytes_s = (uint64_t)b->opt.rate,
		.memory_bytes = (uint64_t)b->opt.memory,
		.seed = (uint64_t)b->opt.seed,
		.node = &b->self,
		.plat = b->plat,
	    },
	    &ops, b);
	printf("ready %s 127.0.0.1:%u %s\n", b->opt.id,
	    conn_server_port(b->server), b->opt.domain);
	fflush(stdout);
}

int
main(int argc, const char **argv)
{
	struct bench_node b = {
		.opt = { .memory = 1 << 30, .copies = 1, .seed = 1 },
		.requested = -1,
	};

	parse(&b.opt, argc, argv);
	read_versions(&b);
	corrupt_permille = b.opt.corrupt_permille;
	rng_seed(&corrupt_rng,
	    (uint64_t)b.opt.seed ^ hash64(2, b.opt.id, strlen(b.opt.id)));
	b.loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGUSR1, on_first, &b);
	g_unix_signal_add(SIGUSR2, on_second, &b);
	g_unix_signal_add(SIGHUP, on_members_changed, &b);
	g_unix_signal_add(SIGTERM, on_term, &b);
	start(&b);
	g_main_loop_run(b.loop);
	wts_free(g_steal_pointer(&b.wts));
	conn_server_free(b.server);
	plat_free(b.plat);
	ctr_set_free(b.self.counters);
	g_main_loop_unref(b.loop);
	return 0;
}
