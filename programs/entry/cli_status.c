/* Commands: status, timeline. */

#include <stdio.h>
#include <string.h>

#include "entry/cli.h"

/* The upper bits of a hybrid logical clock are milliseconds. */
#define HLC_COUNTER_BITS 16

static int
fetch(const struct cli *cli, const char *path, JsonNode **node)
{
	struct err err = { 0 };
	unsigned int status;

	if (!cli_call(cli, "GET", path, NULL, &status, node, &err))
		return cli_fail(&err);
	if (status != 200)
		return cli_refused(status, *node);
	return EXIT_OK;
}

static const char *
text(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, "");
}

static void
print_status(JsonObject *o)
{
	JsonArray *members = json_object_get_array_member(o, "members");
	JsonArray *targets = json_object_get_array_member(o, "targets");
	guint i;

	for (i = 0; i < json_array_get_length(members); i++) {
		JsonObject *m = json_array_get_object_element(members, i);

		printf("%-6s %-24s %-12s %s\n", text(m, "kind"), text(m, "id"),
		    text(m, "domain"), text(m, "state"));
	}
	for (i = 0; i < json_array_get_length(targets); i++) {
		JsonObject *t = json_array_get_object_element(targets, i);

		printf("target %-24s on %-12s running %d/%d %s%s %.12s\n",
		    text(t, "target"), text(t, "host"),
		    (int)json_object_get_int_member(t, "running"),
		    (int)json_object_get_int_member(t, "slots"),
		    json_object_get_boolean_member(t, "accepting") ? "accepting"
								   : "draining",
		    json_object_get_boolean_member(t, "reachable")
			? ""
			: " unreachable",
		    text(t, "loaded"));
	}
}

int
cli_status(const struct cli *cli, const char **args)
{
	JsonNode *node = NULL;
	int rc = fetch(cli, "/v1/status", &node);

	if (rc == EXIT_OK && cli->json)
		cli_print_json(node);
	else if (rc == EXIT_OK)
		print_status(json_node_get_object(node));
	if (node != NULL)
		json_node_unref(node);
	return rc;
}

static void
print_event(JsonObject *e)
{
	gint64 ms = json_object_get_int_member(e, "hlc") >> HLC_COUNTER_BITS;
	GDateTime *when = g_date_time_new_from_unix_utc(ms / 1000);
	char *time = g_date_time_format(when, "%Y-%m-%dT%H:%M:%S");

	printf("%s.%03dZ %-12s %-18s %s %s\n", time, (int)(ms % 1000),
	    text(e, "node"), text(e, "kind"), text(e, "subject"),
	    text(e, "text"));
	g_free(time);
	g_date_time_unref(when);
}

static void
print_timeline(JsonObject *o)
{
	JsonArray *events = json_object_get_array_member(o, "events");
	JsonArray *unresponsive = json_object_get_array_member(o, "silent");
	guint i;

	for (i = 0; i < json_array_get_length(events); i++)
		print_event(json_array_get_object_element(events, i));
	for (i = 0; i < json_array_get_length(unresponsive); i++)
		fprintf(stderr, "no events from %s\n",
		    json_array_get_string_element(unresponsive, i));
}

int
cli_timeline(const struct cli *cli, const char **args)
{
	JsonNode *node = NULL;
	int rc = fetch(cli, "/v1/timeline", &node);

	if (rc == EXIT_OK && cli->json)
		cli_print_json(node);
	else if (rc == EXIT_OK)
		print_timeline(json_node_get_object(node));
	if (node != NULL)
		json_node_unref(node);
	return rc;
}
