/* Checks of JSON text. */

#include <glib.h>
#include <string.h>

#include "common/jtext.h"

bool
jtext_nests_within(const char *text, size_t len, unsigned int max)
{
	unsigned int depth = 0;
	bool in_string = false;
	size_t i;

	for (i = 0; i < len; i++) {
		if (in_string) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				in_string = false;
		} else if (text[i] == '"') {
			in_string = true;
		} else if (text[i] == '[' || text[i] == '{') {
			if (++depth > max)
				return false;
		} else if ((text[i] == ']' || text[i] == '}') && depth > 0) {
			depth--;
		}
	}
	return true;
}

#define SAFE_DIGITS 18 /* any number of so many fits */

static size_t
number_len(const char *text, size_t len)
{
	size_t n = 0;

	while (n < len &&
	    (g_ascii_isdigit(text[n]) || strchr("+-.Ee", text[n]) != NULL) &&
	    text[n] != '\0')
		n++;
	return n;
}

static bool
fits(const char *text, size_t len)
{
	char *number;
	bool is_real, ok;

	if (len <= SAFE_DIGITS)
		return true;
	number = g_strndup(text, len);
	is_real = strpbrk(number, ".Ee") != NULL;
	ok = is_real ||
	    g_ascii_string_to_signed(
		number, 10, G_MININT64, G_MAXINT64, NULL, NULL);
	g_free(number);
	return ok;
}

bool
jtext_ints_fit(const char *text, size_t len)
{
	bool in_string = false;
	size_t i = 0, n;

	while (i < len) {
		n = 1;
		if (in_string && text[i] == '\\') {
			n = 2;
		} else if (text[i] == '"') {
			in_string = !in_string;
		} else if (!in_string &&
		    (text[i] == '-' || g_ascii_isdigit(text[i]))) {
			n = number_len(text + i, len - i);
			if (!fits(text + i, n))
				return false;
		}
		i += n;
	}
	return true;
}
