/* Operators' commands: options, help, dispatch. */

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/cli.h"
#include "entry/entry.h"

/* Settings are guaranteed to become active at all nodes within 14 s. */
#define WAIT_MS 14000
#define KEYWORDS_MAX 2

struct command {
	const char *keywords[KEYWORDS_MAX];
	int (*run)(const struct cli *cli, const char **args);
	unsigned int args; /* number of required arguments */
	const char *usage;
	const char *example;
};

static const struct command commands[] = {
	{ { "settings", "check" }, cli_settings_check, 1, "settings check FILE",
	    "currantchute settings check entry-1.yaml" },
	{ { "settings", "get" }, cli_settings_get, 1, "settings get BRANCH",
	    "currantchute settings get konya > konya.yaml" },
	{ { "settings", "set" }, cli_settings_set, 2,
	    "settings set BRANCH FILE",
	    "currantchute settings set konya konya.yaml" },
	{ { "model", "digest" }, cli_model_digest, 1,
	    "model digest FILE --chunk-bytes N --out LIST",
	    "currantchute model digest v1.bin --chunk-bytes 4194304 "
	    "--out v1.chunks" },
	{ { "model", "add" }, cli_model_add, 2,
	    "model add TEAM/MODEL VERSION --root HEX --bytes N "
	    "--chunk-bytes N --weights NAME --chunks NAME [--pool P] "
	    "[--domains A,B]",
	    "currantchute model add konya/inspect v2 --root 9f86... "
	    "--bytes 4096 --chunk-bytes 4096 --weights inspect/v2.bin "
	    "--chunks inspect/v2.chunks" },
	{ { "rollout", "start" }, cli_rollout_start, 2,
	    "rollout start TEAM/MODEL VERSION "
	    "[--policy time_first|origin_first] [--origin-copies N] "
	    "[--max-unavailable N] [--watch]",
	    "currantchute rollout start konya/inspect v2 --watch" },
	{ { "rollout", "status" }, cli_rollout_status, 1,
	    "rollout status TEAM/MODEL [--watch]",
	    "currantchute rollout status konya/inspect --watch" },
	{ { "drain", NULL }, cli_drain, 2,
	    "drain host|domain|entry NAME [--undo]",
	    "currantchute drain host side-07" },
	{ { "status", NULL }, cli_status, 0, "status", "currantchute status" },
	{ { "timeline", NULL }, cli_timeline, 0, "timeline",
	    "currantchute timeline" },
};

static void
print_usage(FILE *to)
{
	size_t i;

	fprintf(to,
	    "usage: currantchute COMMAND [OPTIONS]\n\n"
	    "  entry --settings FILE\n"
	    "      example: currantchute entry --settings entry-1.yaml\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(to, "  %s\n      example: %s\n", commands[i].usage,
		    commands[i].example);
	fprintf(to,
	    "\n"
	    "common options:\n"
	    "  --entry URL[,URL]  entries tried in turn "
	    "(or CURRANTCHUTE_ENTRY)\n"
	    "  --token TOKEN      operator's token (or CURRANTCHUTE_TOKEN)\n"
	    "  --json             print the answer as JSON\n"
	    "  --wait-ms N        timeout for the outcome (default %d)\n"
	    "\n"
	    "exit codes: 0 done; 1 refused; 2 wrong usage or settings; "
	    "3 no entry answered;\n"
	    "            4 accepted, but not active or done everywhere in time\n",
	    WAIT_MS);
}

static size_t
count_keywords(const struct command *c)
{
	return c->keywords[1] == NULL ? 1 : 2;
}

static const struct command *
find_command(const char **args, size_t n)
{
	size_t i, w;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		size_t keywords = count_keywords(&commands[i]);

		for (w = 0; w < keywords && w < n; w++) {
			if (strcmp(commands[i].keywords[w], args[w]) != 0)
				break;
		}
		if (w == keywords)
			return &commands[i];
	}
	return NULL;
}

static int
run_command(const struct cli *cli, const char **args)
{
	size_t n = 0;
	const struct command *c;

	while (args != NULL && args[n] != NULL)
		n++;
	c = n == 0 ? NULL : find_command(args, n);
	if (c == NULL) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	if (n != count_keywords(c) + c->args) {
		fprintf(stderr, "usage: currantchute %s\nexample: %s\n",
		    c->usage, c->example);
		return EXIT_USAGE;
	}
	return c->run(cli, args + count_keywords(c));
}

/* Environment variables and defaults for options that were not given. */
static void
read_environment(struct cli *cli)
{
	const char *entry = g_getenv("CURRANTCHUTE_ENTRY");
	const char *token = g_getenv("CURRANTCHUTE_TOKEN");

	if (cli->entry == NULL)
		cli->entry =
		    strdup(entry == NULL ? "http://127.0.0.1:8080" : entry);
	if (cli->token == NULL)
		cli->token = strdup(token == NULL ? "" : token);
}

/* Strings from popt are owned by the caller. */
static void
free_options(struct cli *cli)
{
	free(cli->entry);
	free(cli->token);
	free(cli->root);
	free(cli->weights);
	free(cli->chunks);
	free(cli->pool);
	free(cli->domains);
	free(cli->policy);
	free(cli->out);
}

int
cli_main(int argc, const char **argv)
{
	struct cli cli = { .wait_ms = WAIT_MS };
	int help = 0, rc;
	struct poptOption options[] = {
		{ "entry", 0, POPT_ARG_STRING, &cli.entry, 0, NULL, NULL },
		{ "token", 0, POPT_ARG_STRING, &cli.token, 0, NULL, NULL },
		{ "json", 0, POPT_ARG_NONE, &cli.json, 0, NULL, NULL },
		{ "wait-ms", 0, POPT_ARG_INT, &cli.wait_ms, 0, NULL, NULL },
		{ "root", 0, POPT_ARG_STRING, &cli.root, 0, NULL, NULL },
		{ "bytes", 0, POPT_ARG_LONGLONG, &cli.bytes, 0, NULL, NULL },
		{ "chunk-bytes", 0, POPT_ARG_LONGLONG, &cli.chunk_bytes, 0,
		    NULL, NULL },
		{ "weights", 0, POPT_ARG_STRING, &cli.weights, 0, NULL, NULL },
		{ "chunks", 0, POPT_ARG_STRING, &cli.chunks, 0, NULL, NULL },
		{ "pool", 0, POPT_ARG_STRING, &cli.pool, 0, NULL, NULL },
		{ "domains", 0, POPT_ARG_STRING, &cli.domains, 0, NULL, NULL },
		{ "policy", 0, POPT_ARG_STRING, &cli.policy, 0, NULL, NULL },
		{ "origin-copies", 0, POPT_ARG_INT, &cli.origin_copies, 0, NULL,
		    NULL },
		{ "max-unavailable", 0, POPT_ARG_INT, &cli.max_unavailable, 0,
		    NULL, NULL },
		{ "out", 0, POPT_ARG_STRING, &cli.out, 0, NULL, NULL },
		{ "undo", 0, POPT_ARG_NONE, &cli.undo, 0, NULL, NULL },
		{ "watch", 0, POPT_ARG_NONE, &cli.watch, 0, NULL, NULL },
		{ "help", 'h', POPT_ARG_NONE, &help, 0, NULL, NULL },
		POPT_TABLEEND,
	};
	poptContext pc = poptGetContext("currantchute", argc, argv, options, 0);

	rc = poptGetNextOpt(pc);
	read_environment(&cli);
	if (rc < -1) {
		fprintf(stderr, "currantchute: %s: %s\n",
		    poptBadOption(pc, POPT_BADOPTION_NOALIAS),
		    poptStrerror(rc));
		rc = EXIT_USAGE;
	} else if (help) {
		print_usage(stdout);
		rc = EXIT_OK;
	} else {
		rc = run_command(&cli, poptGetArgs(pc));
	}
	poptFreeContext(pc);
	free_options(&cli);
	return rc;
}
