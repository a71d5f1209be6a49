/*
 * Pulls over TCP: of the member table, or of the settings branches. The pulling
 * node opens the connection; the answering node receives the request on a
 * connection that the program accepted.
 */

#include <string.h>

#include "agree/agr_internal.h"

/* a stalled peer is given up after this time; other peers can answer */
#define PULL_TIMEOUT_MS 5000

enum pull_type {
	TYPE_SYNC = 66, /* from the pulling node: the states that it has */
	TYPE_PAGE = 67, /* records that the receiver is missing */
	/* from the answering node, after its pages: keys that it is missing */
	TYPE_MISSING = 68,
	/*
	 * from the pulling node, after its pages; echoed by the answering node
	 */
	TYPE_SYNC_END = 69,
	/* from the pulling node: the branch versions that it has */
	TYPE_PULL = 70,
	TYPE_BRANCH = 71,
	TYPE_PULL_END = 72,
};

struct msg_blob {
	struct slice blob;
};
static const struct msg_field blob_fields[] = {
	MSG_FIELD(struct msg_blob, blob, MSG_BIN, 0),
};
static const struct msg_desc sync_desc =
    MSG_DESC(TYPE_SYNC, "sync", struct msg_blob, blob_fields);
static const struct msg_desc page_desc =
    MSG_DESC(TYPE_PAGE, "page", struct msg_blob, blob_fields);
static const struct msg_desc missing_desc =
    MSG_DESC(TYPE_MISSING, "lacking", struct msg_blob, blob_fields);
static const struct msg_desc sync_end_desc =
    MSG_DESC(TYPE_SYNC_END, "sync_end", struct msg_blob, blob_fields);
static const struct msg_desc pull_desc =
    MSG_DESC(TYPE_PULL, "ask", struct msg_blob, blob_fields);

struct msg_branch {
	struct slice name;
	uint64_t version;
	struct slice yaml;
};
static const struct msg_field branch_fields[] = {
	MSG_FIELD(struct msg_branch, name, MSG_STR, INF_BRANCH_MAX),
	MSG_FIELD(struct msg_branch, version, MSG_U64, 0),
	MSG_FIELD(struct msg_branch, yaml, MSG_STR, OBJ_VALUE_MAX),
};
static const struct msg_desc branch_desc =
    MSG_DESC(TYPE_BRANCH, "branch", struct msg_branch, branch_fields);

struct msg_pull_end {
	uint64_t ready; /* 0: the answering node is not ready itself */
	struct slice roles; /* fencing numbers and holders of the roles */
};
static const struct msg_field pull_end_fields[] = {
	MSG_FIELD(struct msg_pull_end, ready, MSG_U64, 1),
	MSG_FIELD(struct msg_pull_end, roles, MSG_BIN, 0),
};
static const struct msg_desc pull_end_desc =
    MSG_DESC(TYPE_PULL_END, "ask_end", struct msg_pull_end, pull_end_fields);

static void
send_blob(struct conn *c, const struct msg_desc *desc, GByteArray *blob)
{
	struct msg_blob m = { .blob = { blob->data, blob->len } };

	conn_send(c, desc, &m);
	g_byte_array_unref(blob);
}

static void
send_page(struct slice page, void *ctx)
{
	struct msg_blob m = { .blob = page };

	conn_send(ctx, &page_desc, &m);
}

/* ------------------------------------------------------------------ */
/* Answering pulls                                                     */
/* ------------------------------------------------------------------ */

static void
send_branch(const struct inf_branch *branch, void *ctx)
{
	struct msg_branch m = {
		.name = slice_str(branch->name),
		.version = branch->version,
		.yaml = slice_str(branch->yaml),
	};

	conn_send(ctx, &branch_desc, &m);
}

static void
answer_pull(struct agr *agr, struct conn *c, struct slice known)
{
	GByteArray *roles = mem_pack_role_notes(agr->mem);
	struct msg_pull_end end = {
		.ready = agr->ready,
		.roles = { roles->data, roles->len },
	};

	inf_each_newer(agr->inf, known, send_branch, c);
	conn_send(c, &pull_end_desc, &end);
	g_byte_array_unref(roles);
}

bool
agr_message(struct agr *agr, struct conn *c, const struct msg *m)
{
	int64_t now_us = agr_now_us(agr);
	struct msg_blob blob;

	switch (m->type) {
	case TYPE_SYNC:
		if (!msg_read(m, &sync_desc, &blob, NULL))
			break;
		send_blob(c, &missing_desc,
		    mem_sync_answer(agr->mem, now_us, blob.blob, send_page, c));
		return true;
	case TYPE_PAGE:
		if (!msg_read(m, &page_desc, &blob, NULL))
			break;
		mem_sync_page(agr->mem, now_us, blob.blob);
		return true;
	case TYPE_SYNC_END:
		conn_send(c, &sync_end_desc, &(struct msg_blob){ 0 });
		return true;
	case TYPE_PULL:
		if (!msg_read(m, &pull_desc, &blob, NULL))
			break;
		answer_pull(agr, c, blob.blob);
		return true;
	default:
		return false;
	}
	conn_close(c); /* malformed message */
	return true;
}

/* ------------------------------------------------------------------ */
/* Pulling                                                             */
/* ------------------------------------------------------------------ */

static void
on_opened(struct conn *c, void *ctx)
{
	struct pull *p = ctx;

	if (p->agr == NULL)
		return;
	if (p->kind == PULL_MEMBERS)
		send_blob(c, &sync_desc, mem_sync_list(p->agr->mem));
	else
		send_blob(c, &pull_desc, inf_pack_versions(p->agr->inf));
}

static void
handle_branch(struct pull *p, const struct msg *m)
{
	struct msg_branch branch;
	char *name, *yaml;

	if (!msg_read(m, &branch_desc, &branch, NULL))
		return;
	name = slice_dup(branch.name);
	yaml = slice_dup(branch.yaml);
	agr_offer_branch(p->agr, name, branch.version, yaml, p->address);
	g_free(name);
	g_free(yaml);
}

static void
handle_pull_end(struct pull *p, const struct msg *m)
{
	struct msg_pull_end end;

	if (!msg_read(m, &pull_end_desc, &end, NULL))
		return;
	mem_sync_roles(p->agr->mem, agr_now_us(p->agr), end.roles);
	agr_settings_peer_answered(p->agr, p->address, end.ready != 0);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct pull *p = ctx;
	struct agr *agr = p->agr;
	struct msg_blob blob;

	if (agr == NULL)
		return;
	switch (m->type) {
	case TYPE_PAGE:
		if (msg_read(m, &page_desc, &blob, NULL))
			mem_sync_page(agr->mem, agr_now_us(agr), blob.blob);
		return;
	case TYPE_MISSING:
		if (!msg_read(m, &missing_desc, &blob, NULL))
			break;
		mem_sync_records(agr->mem, blob.blob, send_page, c);
		conn_send(c, &sync_end_desc, &(struct msg_blob){ 0 });
		return;
	case TYPE_BRANCH:
		handle_branch(p, m);
		return;
	case TYPE_PULL_END:
		handle_pull_end(p, m);
		break;
	default: /* TYPE_SYNC_END, or an unexpected message */
		break;
	}
	conn_close(c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct pull *p = ctx;
	struct agr *agr = p->agr;
	enum pull_kind kind = p->kind;

	if (p->timer != 0)
		g_source_remove(p->timer);
	if (agr != NULL)
		LIST_REMOVE(p, link);
	g_free(p);
	if (agr != NULL && kind == PULL_SETTINGS)
		agr_settings_pull_ended(agr);
}

static const struct conn_ops pull_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static gboolean
on_timeout(gpointer data)
{
	struct pull *p = data;

	p->timer = 0;
	conn_close(p->conn);
	return G_SOURCE_REMOVE;
}

void
agr_pull(struct agr *agr, enum pull_kind kind, const char *address)
{
	struct pull *p;

	LIST_FOREACH (p, &agr->pulls, link) {
		if (p->kind == kind && strcmp(p->address, address) == 0)
			return;
	}
	p = g_new0(struct pull, 1);
	p->agr = agr;
	p->kind = kind;
	g_strlcpy(p->address, address, sizeof(p->address));
	LIST_INSERT_HEAD(&agr->pulls, p, link);
	ctr_add(kind == PULL_SETTINGS ? agr->pulls_count : agr->sync_count, 1);
	p->timer = g_timeout_add(PULL_TIMEOUT_MS, on_timeout, p);
	p->conn = conn_dial(agr->conf.node, p->address, &pull_ops, p);
}

unsigned int
agr_pulls(const struct agr *agr, enum pull_kind kind)
{
	const struct pull *p;
	unsigned int n = 0;

	LIST_FOREACH (p, &agr->pulls, link)
		n += p->kind == kind;
	return n;
}

/* The event loop closes the connections after agr_free() has returned. */
void
agr_pulls_drop(struct agr *agr)
{
	struct pull *p;

	while ((p = LIST_FIRST(&agr->pulls)) != NULL) {
		LIST_REMOVE(p, link);
		p->agr = NULL;
		conn_close(p->conn);
	}
}
