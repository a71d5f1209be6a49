/*
 * Connections to the other gateways. Each gateway sends over the connections
 * it dialled and receives over those it accepted, so that no message depends
 * on which of two gateways dialled first.
 */

#include <string.h>

#include "entry/entry.h"

#define REDIAL_MS 500

struct entry_peer {
	TAILQ_ENTRY(entry_peer) link;
	struct entry *entry;
	char id[MEM_ID_MAX + 1];
	char address[MEM_ADDRESS_MAX + 1]; /* "" once the member is dead */
	struct conn *conn;
	guint timer;
};

static struct entry_peer *
find(struct entry *entry, const char *id)
{
	struct entry_peer *p;

	TAILQ_FOREACH (p, &entry->peers, link) {
		if (strcmp(p->id, id) == 0)
			return p;
	}
	return NULL;
}

static void dial(struct entry_peer *p);

static gboolean
on_redial(gpointer data)
{
	struct entry_peer *p = data;

	p->timer = 0;
	dial(p);
	return G_SOURCE_REMOVE;
}

static void
on_opened(struct conn *c, void *ctx)
{
	struct entry_peer *p = ctx;

	suspects_send_blocked(p->entry, p->id);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	/* The peer answers over the connection that it dialled. */
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct entry_peer *p = ctx;

	p->conn = NULL;
	if (p->address[0] != '\0')
		p->timer = g_timeout_add(REDIAL_MS, on_redial, p);
}

static const struct conn_ops peer_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void
dial(struct entry_peer *p)
{
	if (p->conn == NULL && p->address[0] != '\0')
		p->conn =
		    conn_dial(&p->entry->proc.node, p->address, &peer_ops, p);
}

static void
disconnect(struct entry_peer *p)
{
	p->address[0] = '\0';
	if (p->timer != 0)
		g_source_remove(p->timer);
	p->timer = 0;
	if (p->conn != NULL)
		conn_close(p->conn);
}

void
peers_member_changed(struct entry *entry, const struct mem_member *member)
{
	const struct mem_node *node = &member->node;
	struct entry_peer *p = find(entry, node->id);

	if (strcmp(node->id, entry->proc.node.id) == 0)
		return;
	if (member->state == MEM_DEAD) {
		if (p != NULL)
			disconnect(p);
		return;
	}
	if (p == NULL) {
		p = g_new0(struct entry_peer, 1);
		p->entry = entry;
		g_strlcpy(p->id, node->id, sizeof(p->id));
		TAILQ_INSERT_TAIL(&entry->peers, p, link);
	}
	if (strcmp(p->address, node->address) != 0) {
		disconnect(p);
		g_strlcpy(p->address, node->address, sizeof(p->address));
	}
	if (p->conn == NULL && p->timer == 0)
		dial(p);
}

bool
peers_send(struct entry *entry, const char *id, const struct msg_desc *desc,
    const void *message)
{
	struct entry_peer *p = find(entry, id);

	if (p == NULL || p->conn == NULL || !conn_is_open(p->conn))
		return false;
	conn_send(p->conn, desc, message);
	return true;
}

void
peers_send_all(
    struct entry *entry, const struct msg_desc *desc, const void *message)
{
	struct entry_peer *p;

	TAILQ_FOREACH (p, &entry->peers, link) {
		if (p->conn != NULL && conn_is_open(p->conn))
			conn_send(p->conn, desc, message);
	}
}
