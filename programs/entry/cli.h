#ifndef CLI_H
#define CLI_H

/* Shared by the operators' commands. */

#include <json-glib/json-glib.h>

#include "shared/proc.h"

struct cli {
	char *entry; /* base URLs, comma-separated, tried in turn */
	char *token;
	int json; /* print the answer as JSON */
	int wait_ms; /* timeout until settings are active or a rollout done */
	/* Options of single commands. */
	char *root, *weights, *chunks, *pool, *domains, *policy, *out;
	long long bytes, chunk_bytes;
	int origin_copies, max_unavailable;
	int undo;
	int watch;
};

/* Calls the gateways in turn until one answers; ERR_UNAVAILABLE if none does.
 * `body` may be NULL. With status 200 `*out` is a JSON object, which the caller
 * unrefs; with another status it may be NULL. */
bool cli_call(const struct cli *cli, const char *method, const char *path,
    const char *body, unsigned int *status, JsonNode **out, struct err *err);
/* Prints the reason of a refusal; returns the exit code. */
int cli_refused(unsigned int status, JsonNode *node);
/* Prints the error; returns the exit code. */
int cli_fail(const struct err *err);
void cli_print_json(JsonNode *node);
void cli_print_object(JsonObject *object); /* takes ownership */

/* JSON body that writes a branch, with a new operation id. Free with
 * g_free(). */
char *cli_put_body(const char *yaml, uint64_t if_version);

struct cli_edit {
	const char *path;
	const char *value; /* YAML; NULL removes the key */
};
/* Edits a branch by a conditional write, retries after a conflict, and waits
 * until the new version is active at all nodes. */
int cli_edit_branch(const struct cli *cli, const char *branch,
    struct cli_edit *(*edits)(const struct cfg *cfg, void *ctx, size_t *n),
    void *ctx);
int cli_wait_active(
    const struct cli *cli, const char *branch, uint64_t version);

/* Commands; `args` are the arguments after the command's name, terminated by
 * NULL. */
int cli_settings_check(const struct cli *cli, const char **args);
int cli_settings_get(const struct cli *cli, const char **args);
int cli_settings_set(const struct cli *cli, const char **args);
int cli_model_digest(const struct cli *cli, const char **args);
int cli_model_add(const struct cli *cli, const char **args);
int cli_rollout_start(const struct cli *cli, const char **args);
int cli_rollout_status(const struct cli *cli, const char **args);
int cli_drain(const struct cli *cli, const char **args);
int cli_status(const struct cli *cli, const char **args);
int cli_timeline(const struct cli *cli, const char **args);

#endif
