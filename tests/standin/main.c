/* standin: one program for all stand-ins, chosen by a subcommand. */

#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

static const struct command {
	const char *name;
	int (*run)(int argc, const char **argv);
} commands[] = {
	{ .name = "objects", .run = objects_main },
	{ .name = "origin", .run = origin_main },
	{ .name = "hosts", .run = hosts_main },
	{ .name = "engine", .run = engine_main },
	{ .name = "service", .run = service_main },
	{ .name = "caller", .run = caller_main },
	{ .name = "truth", .run = truth_main },
	{ .name = "tally", .run = tally_main },
};

int
main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(
			    argc - 1, (const char **)argv + 1);
	}
	fprintf(stderr,
	    "usage: standin objects|origin|hosts|engine|service|"
	    "caller|truth|tally [OPTION...]\n");
	return 2;
}
