/*
 * HTTP server on loopback for engines on this host: the chunk list and the
 * bytes of a complete version, sent chunk by chunk. Also /healthz and /metrics.
 */

#include <string.h>

#include "shared/http.h"
#include "side/side.h"

#define VERSIONS_PREFIX "/v1/versions/"

/* A response with the bytes of a version. */
struct body_reader {
	struct side *side;
	struct digest root;
	uint64_t next; /* chunk to append next */
};

/* ------------------------------------------------------------------ */
/* A version's bytes                                                   */
/* ------------------------------------------------------------------ */

static void
append_next(SoupServerMessage *message, struct body_reader *r)
{
	SoupMessageBody *body = soup_server_message_get_response_body(message);
	GBytes *chunk = wts_chunk(r->side->wts, &r->root, r->next);

	if (chunk == NULL) {
		soup_message_body_complete(body);
		return;
	}
	r->next++;
	soup_message_body_append_bytes(body, chunk);
}

static void
on_wrote_chunk(SoupServerMessage *message, gpointer data)
{
	append_next(message, data);
	soup_server_message_unpause(message);
}

static void
free_reader(gpointer data, GClosure *closure)
{
	g_free(data);
}

static void
send_bytes(
    struct side *side, SoupServerMessage *message, const struct digest *root)
{
	struct body_reader *r = g_new0(struct body_reader, 1);
	SoupMessageBody *body = soup_server_message_get_response_body(message);

	r->side = side;
	r->root = *root;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_body_set_accumulate(body, FALSE);
	soup_message_headers_set_encoding(
	    soup_server_message_get_response_headers(message),
	    SOUP_ENCODING_CHUNKED);
	g_signal_connect_data(message, "wrote-chunk",
	    G_CALLBACK(on_wrote_chunk), r, free_reader, 0);
	append_next(message, r);
}

static void
on_version(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct side *side = data;
	char **part = g_strsplit(path + strlen(VERSIONS_PREFIX), "/", 2);
	struct digest root;
	GBytes *list = NULL;

	if (g_strv_length(part) == 2 && digest_from_hex(part[0], &root))
		list = wts_list(side->wts, &root);
	if (list == NULL) {
		http_answer_text(message, SOUP_STATUS_NOT_FOUND, "text/plain",
		    "version is not complete on this host\n");
	} else if (strcmp(part[1], "chunks") == 0) {
		soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
		soup_message_body_append_bytes(
		    soup_server_message_get_response_body(message), list);
	} else if (strcmp(part[1], "bytes") == 0) {
		send_bytes(side, message, &root);
	} else {
		http_answer_text(message, SOUP_STATUS_NOT_FOUND, "text/plain",
		    "no such resource\n");
	}
	g_strfreev(part);
}

/* ------------------------------------------------------------------ */
/* Health and counters                                                 */
/* ------------------------------------------------------------------ */

static void
on_health(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct side *side = data;

	if (side->leaving || side->draining)
		http_answer_text(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
		    "application/json", "{\"state\":\"draining\"}\n");
	else if (!agr_is_ready(side->proc.agr))
		http_answer_text(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
		    "application/json", "{\"state\":\"starting\"}\n");
	else
		http_answer_text(message, SOUP_STATUS_OK, "application/json",
		    "{\"state\":\"ready\"}\n");
}

static void
on_metrics(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct side *side = data;

	http_answer_counters(message, side->proc.counters);
}

bool
loopback_open(struct side *side, struct err *err)
{
	const char *address = cfg_str(side->proc.cfg, "side.loopback");
	const char *colon = strrchr(address, ':');
	GError *error = NULL;
	GSList *uris;

	side->loopback_port =
	    (unsigned int)atoi(colon == NULL ? "0" : colon + 1);
	side->loopback = soup_server_new("server-header", "currantchute", NULL);
	http_close_disconnected(side->loopback);
	soup_server_add_handler(
	    side->loopback, VERSIONS_PREFIX, on_version, side, NULL);
	soup_server_add_handler(
	    side->loopback, "/healthz", on_health, side, NULL);
	soup_server_add_handler(
	    side->loopback, "/metrics", on_metrics, side, NULL);
	/* Loopback only: the server hands out the weights without
	 * authentication. */
	if (!soup_server_listen_local(side->loopback, side->loopback_port,
		SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "cannot listen on %s: %s", address, error->message);
		g_error_free(error);
		return false;
	}
	uris = soup_server_get_uris(side->loopback);
	side->loopback_port = (unsigned int)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return true;
}
