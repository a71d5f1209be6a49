/* Prints docs/SETTINGS.md. */

#include <stdio.h>

#include "common/common.h"

int
main(void)
{
	GString *out = g_string_new(NULL);

	cfg_print_settings(out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return 0;
}
