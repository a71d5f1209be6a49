/* Depth of JSON documents. */

#include "common/nest.h"

bool
nest_within(const char *text, size_t len, unsigned int max)
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
