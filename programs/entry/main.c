/* currantchute: `entry` serves; every other command is an operator's. */

#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

int
main(int argc, char **argv)
{
	if (argc == 4 && strcmp(argv[1], "entry") == 0 &&
	    (strcmp(argv[2], "--settings") == 0 || strcmp(argv[2], "-s") == 0))
		return serve_main(argv[3]);
	if (argc >= 2 && strcmp(argv[1], "entry") == 0) {
		fprintf(stderr,
		    "usage: currantchute entry --settings FILE\n"
		    "example: currantchute entry --settings entry-1.yaml\n");
		return EXIT_USAGE;
	}
	return cli_main(argc, (const char **)argv);
}
