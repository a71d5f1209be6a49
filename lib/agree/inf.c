/*
 * Active settings: which offered versions are accepted, and when a node may
 * start to serve.
 */

#include <msgpack.h>
#include <string.h>

#include "agree/inf_internal.h"

/* one per workspace; more indicate a wrong prefix in the object API */
#define BRANCHES_MAX 256
/*
 * After the object API's list was read, peers get this long to report a write
 * that was accepted after the list was made.
 */
#define PEERS_WAIT_US (G_USEC_PER_SEC / 2)

struct branch {
	struct inf_branch public; /* cfg is NULL until a version was accepted */
	char name[INF_BRANCH_MAX + 1];
	char *yaml;
	struct cfg *cfg;
	uint64_t refused; /* highest version that failed validation */
	LIST_ENTRY(branch) link;
};

struct inf {
	LIST_HEAD(branch_list, branch) branches; /* sorted by name */
};

static struct branch *
find_branch(const struct inf *inf, const char *name)
{
	struct branch *b;

	LIST_FOREACH (b, &inf->branches, link) {
		if (strcmp(b->name, name) == 0)
			return b;
	}
	return NULL;
}

static struct branch *
add_branch(struct inf *inf, const char *name)
{
	struct branch *b = g_new0(struct branch, 1), *at, *last = NULL;

	g_strlcpy(b->name, name, sizeof(b->name));
	b->public.name = b->name;
	LIST_FOREACH (at, &inf->branches, link) {
		if (strcmp(at->name, name) > 0)
			break;
		last = at;
	}
	if (last == NULL)
		LIST_INSERT_HEAD(&inf->branches, b, link);
	else
		LIST_INSERT_AFTER(last, b, link);
	return b;
}

static const struct cfg_schema *
schema_of(const char *name)
{
	return strcmp(name, INF_ROOT_BRANCH) == 0 ? &cfg_root_schema
						  : &cfg_branch_schema;
}

static struct cfg *
parse(const char *name, const char *yaml, struct err *err)
{
	return cfg_parse(name, yaml, strlen(yaml), schema_of(name), err);
}

struct inf *
inf_new(void)
{
	struct inf *inf = g_new0(struct inf, 1);

	LIST_INIT(&inf->branches);
	return inf;
}

void
inf_free(struct inf *inf)
{
	struct branch *b;

	if (inf == NULL)
		return;
	while ((b = LIST_FIRST(&inf->branches)) != NULL) {
		LIST_REMOVE(b, link);
		cfg_free(b->cfg);
		g_free(b->yaml);
		g_free(b);
	}
	g_free(inf);
}

bool
inf_is_newer(const struct inf *inf, const char *name, uint64_t version)
{
	const struct branch *b = find_branch(inf, name);

	if (b == NULL)
		return version > 0;
	return version > b->public.version && version > b->refused;
}

enum inf_outcome
inf_offer(struct inf *inf, const char *name, uint64_t version, const char *yaml,
    struct err *err)
{
	struct branch *b = find_branch(inf, name);
	struct cfg *cfg;

	/*
	 * A watcher that resumes after a pause, a peer from a region that was
	 * cut off or a delayed response may offer a version that was active
	 * long ago. Accepting it would revert an accepted change; the version
	 * of the object shows which one is newer.
	 */
	if (!inf_is_newer(inf, name, version))
		return INF_STALE;
	if (b == NULL) {
		if (strlen(name) > INF_BRANCH_MAX || !cfg_key_valid(name) ||
		    inf_count(inf) >= BRANCHES_MAX) {
			err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
			    "'%s' is not a valid branch name", name);
			return INF_REFUSED;
		}
		b = add_branch(inf, name);
	}
	cfg = parse(name, yaml, err);
	if (cfg == NULL) {
		b->refused = version;
		return INF_REFUSED;
	}
	cfg_free(b->cfg);
	g_free(b->yaml);
	b->cfg = cfg;
	b->yaml = g_strdup(yaml);
	b->public.version = version;
	b->public.yaml = b->yaml;
	b->public.cfg = b->cfg;
	return INF_ACCEPTED;
}

const struct inf_branch *
inf_find(const struct inf *inf, const char *name)
{
	const struct branch *b = find_branch(inf, name);

	return b == NULL || b->cfg == NULL ? NULL : &b->public;
}

void
inf_each(const struct inf *inf, inf_each_cb *each, void *ctx)
{
	const struct branch *b;

	LIST_FOREACH (b, &inf->branches, link) {
		if (b->cfg != NULL)
			each(&b->public, ctx);
	}
}

unsigned int
inf_count(const struct inf *inf)
{
	const struct branch *b;
	unsigned int n = 0;

	LIST_FOREACH (b, &inf->branches, link)
		n++;
	return n;
}

uint64_t
inf_digest(const struct inf *inf)
{
	const struct branch *b;
	uint64_t sum = 0, hash = 0;

	LIST_FOREACH (b, &inf->branches, link) {
		if (b->cfg == NULL)
			continue;
		sum += b->public.version;
		hash ^= hash64(b->public.version, b->name, strlen(b->name));
	}
	return sum << 32 | (hash & UINT32_MAX);
}

bool
inf_check_write(
    const struct inf *inf, const char *name, const char *yaml, struct err *err)
{
	const struct inf_branch *root = inf_find(inf, INF_ROOT_BRANCH);
	struct cfg *cfg;
	const struct branch *b;
	bool is_root = strcmp(name, INF_ROOT_BRANCH) == 0;
	bool ok = true;

	if (strlen(name) > INF_BRANCH_MAX || !cfg_key_valid(name)) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "'%s' is not a valid branch name", name);
	}
	cfg = parse(name, yaml, err);
	if (cfg == NULL)
		return false;
	if (!is_root)
		ok =
		    cfg_check_branch(root == NULL ? NULL : root->cfg, cfg, err);
	LIST_FOREACH (b, &inf->branches, link) {
		if (is_root && ok && b->cfg != NULL &&
		    strcmp(b->name, INF_ROOT_BRANCH) != 0)
			ok = cfg_check_branch(cfg, b->cfg, err);
	}
	cfg_free(cfg);
	return ok;
}

/* ------------------------------------------------------------------ */
/* Versions of a peer: a sequence of [name, version]                   */
/* ------------------------------------------------------------------ */

static int
append(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

GByteArray *
inf_pack_versions(const struct inf *inf)
{
	GByteArray *out = g_byte_array_new();
	const struct branch *b;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	LIST_FOREACH (b, &inf->branches, link) {
		/*
		 * List a refused version too, so that it is not pulled again
		 * and again.
		 */
		msgpack_pack_array(&pk, 2);
		msgpack_pack_str(&pk, strlen(b->name));
		msgpack_pack_str_body(&pk, b->name, strlen(b->name));
		msgpack_pack_uint64(&pk, MAX(b->public.version, b->refused));
	}
	return out;
}

static bool
has_version(struct slice known, const char *name, uint64_t version)
{
	msgpack_unpacked got;
	const msgpack_object *field;
	size_t at = 0, len = strlen(name);
	bool has = false;

	if (!msg_bounded(known))
		return false;
	msgpack_unpacked_init(&got);
	while (!has &&
	    msgpack_unpack_next(&got, (const char *)known.data, known.len,
		&at) == MSGPACK_UNPACK_SUCCESS) {
		if (got.data.type != MSGPACK_OBJECT_ARRAY ||
		    got.data.via.array.size != 2)
			break;
		field = got.data.via.array.ptr;
		has = field[0].type == MSGPACK_OBJECT_STR &&
		    field[0].via.str.size == len &&
		    memcmp(field[0].via.str.ptr, name, len) == 0 &&
		    field[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    field[1].via.u64 >= version;
	}
	msgpack_unpacked_destroy(&got);
	return has;
}

void
inf_each_newer(
    const struct inf *inf, struct slice known, inf_each_cb *each, void *ctx)
{
	const struct branch *b;

	LIST_FOREACH (b, &inf->branches, link) {
		if (b->cfg != NULL &&
		    !has_version(known, b->name, b->public.version))
			each(&b->public, ctx);
	}
}

bool
inf_enough_peers(const struct inf_start *start)
{
	return start->peers_answered > 0 &&
	    start->peers_answered >=
	    MIN(INF_PEERS_REQUIRED, start->peers_known);
}

bool
inf_may_serve(const struct inf_start *start)
{
	if (!start->api_read)
		return start->api_failed && inf_enough_peers(start);
	return start->peers_known == 0 || inf_enough_peers(start) ||
	    start->waited_us >= PEERS_WAIT_US;
}
