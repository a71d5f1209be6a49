/*
 * currantchute: `entry` and `gateway` run servers, `explain` reads log files;
 * all other commands are for operators.
 */

#include <stdio.h>
#include <string.h>

#include "entry/entry.h"
#include "entry/gateway.h"

/* Commands that run a server; each takes a settings file. */
static const struct {
	const char *name;
	int (*run)(const char *settings);
} servers[] = {
	{ "entry", serve_main },
	{ "gateway", gateway_main },
};

int
main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc >= 2 && i < G_N_ELEMENTS(servers); i++) {
		if (strcmp(argv[1], servers[i].name) != 0)
			continue;
		if (argc == 4 &&
		    (strcmp(argv[2], "--settings") == 0 ||
			strcmp(argv[2], "-s") == 0))
			return servers[i].run(argv[3]);
		fprintf(stderr,
		    "usage: currantchute %s --settings FILE\n"
		    "example: currantchute %s --settings %s-1.yaml\n",
		    argv[1], argv[1], argv[1]);
		return EXIT_USAGE;
	}
	if (argc >= 2 && strcmp(argv[1], "explain") == 0)
		return explain_main(argc, argv);
	return cli_main(argc, (const char **)argv);
}
