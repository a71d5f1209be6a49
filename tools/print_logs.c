/* Prints the table of docs/LOGS.md. */

#include <stdio.h>

#include "common/evt.h"

int
main(void)
{
	GString *out = g_string_new(NULL);

	evt_print_names(out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return 0;
}
