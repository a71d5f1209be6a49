/* The stand-in's operators: settings and versions in its store. */

#include "fleet.h"

/* Routes that no caller uses. */
static void
append_more_routes(GString *s)
{
	unsigned int i;

	for (i = 0; i < fleet_settings_more_routes(); i++)
		g_string_append_printf(s,
		    ",{\"name\":\"more%u\",\"host\":\"more%u.example\","
		    "\"pathPrefix\":\"/more/\",\"kind\":\"safe\","
		    "\"timeoutMs\":1500,\"targetLatencyMs\":300,"
		    "\"maxAttempts\":2,\"service\":\"" FLEET_PLAIN "\"}",
		    i, i);
}

void
fleet_operator_put_config(struct fleet *f)
{
	GString *s = g_string_new(NULL);
	char number[16] = "";

	if (f->generation > 0)
		g_snprintf(number, sizeof(number), "%u", f->generation);
	g_string_printf(s,
	    "{\"version\":%" G_GINT64_FORMAT ",\"routes\":["
	    "{\"name\":\"chat\",\"host\":\"a.example\","
	    "\"pathPrefix\":\"/chat/\",\"kind\":\"streaming\","
	    "\"timeoutMs\":4000,\"targetLatencyMs\":400,\"maxAttempts\":2,"
	    "\"resumable\":true,\"gapTargetMs\":300,\"service\":\"" FLEET_LLM
	    "\"},{\"name\":\"tell\",\"host\":\"a.example\","
	    "\"pathPrefix\":\"/tell/\",\"kind\":\"streaming\","
	    "\"timeoutMs\":4000,\"targetLatencyMs\":400,\"maxAttempts\":2,"
	    "\"resumable\":false,\"gapTargetMs\":300,\"service\":\"" FLEET_LLM
	    "\"},{\"name\":\"book\",\"host\":\"a.example\","
	    "\"pathPrefix\":\"/book/\",\"kind\":\"unsafe\","
	    "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"maxAttempts\":1,"
	    "\"service\":\"" FLEET_PLAIN
	    "\"},{\"name\":\"look\",\"host\":\"a.example\","
	    "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":300,\"maxAttempts\":2,"
	    "\"service\":\"" FLEET_PLAIN "\"}",
	    f->config_version++);
	append_more_routes(s);
	g_string_append_printf(s,
	    "],\"services\":[{\"name\":\"" FLEET_LLM
	    "\",\"maxConnections\":200,\"engine\":{\"slots\":8,"
	    "\"models\":[{\"name\":\"" FLEET_MODEL
	    "\",\"warmS\":0.2}],%s\"chunks\":%d,"
	    "\"chunkBytes\":%d}},{\"name\":\"" FLEET_PLAIN
	    "\",\"maxConnections\":200},{\"name\":\"origin\","
	    "\"origin\":\"127.0.%d.8:8000\",\"zone\":\"z0\"}],"
	    "\"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":100000,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":%d},"
	    "\"tenants\":[{\"name\":\"team%s\",\"apiKeys\":[\"" FLEET_KEY
	    "\"]},{\"name\":\"guest\",\"apiKeys\":[\"" FLEET_POISON_KEY
	    "\"]}]}",
	    fleet_held_layers(), FLEET_CHUNKS, FLEET_CHUNK_BYTES, f->net,
	    fleet_settings_idle_ms(), number);
	fleet_store_put(f, "config", "main", s->str);
	g_free(f->config_spec);
	f->config_spec = g_string_free(s, FALSE);
}

void
fleet_operator_rename_workspace(struct fleet *f)
{
	int64_t now_us = evl_now_us(f->loop);

	f->generation++;
	g_array_append_val(f->renamed_us, now_us);
	fleet_operator_put_config(f);
}

static void
put_version(struct fleet *f)
{
	char *spec = g_strdup_printf("{\"model\":\"" FLEET_MODEL
				     "\",\"version\":%" G_GINT64_FORMAT "}",
	    f->version);
	fleet_store_put(f, "versions", FLEET_MODEL, spec);
	g_free(spec);
}

void
fleet_operator_announce_version(struct fleet *f)
{
	f->previous_version = f->version;
	f->version++;
	f->announced_us = evl_now_us(f->loop);
	put_version(f);
	/* The version before may have been announced too recently to be in use,
	 * so runs on the one before that are not stale yet. */
	f->previous_version = MAX(1, f->previous_version - 1);
}

void
fleet_operator_write_again(struct fleet *f)
{
	fleet_store_put(f, "config", "main", f->config_spec);
	if (f->version > 1)
		put_version(f);
}
