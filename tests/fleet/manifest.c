/* The origin's lists of digests, of which the first ones can be corrupted. */

#include <popt.h>
#include <string.h>

#include "fleet.h"

static int bad_sizes, bad_digests;

struct poptOption *
fleet_manifest_options(void)
{
	static struct poptOption options[] = {
		{ "bad-sizes", 0, POPT_ARG_INT, &bad_sizes, 0,
		    "first lists of digests that state another size of chunks",
		    "N" },
		{ "bad-digests", 0, POPT_ARG_INT, &bad_digests, 0,
		    "first lists of each version with a wrong digit in a digest",
		    "N" },
		POPT_TABLEEND
	};

	return options;
}

static void
add_digests(GString *out, int64_t version)
{
	uint8_t chunk[FLEET_CHUNK_BYTES];
	struct digest digest;
	char hex[DIGEST_HEX];
	uint64_t i;

	for (i = 0; i < FLEET_CHUNKS; i++) {
		fleet_chunk(version, i, chunk);
		digest_of(chunk, sizeof(chunk), &digest);
		digest_to_hex(&digest, hex);
		g_string_append_printf(out, "%s\"%s\"", i > 0 ? "," : "", hex);
	}
}

/* Changes one digit of a digest, in each list another one. */
static void
corrupt_digest(char *digests, unsigned int number)
{
	size_t entry = DIGEST_HEX + 2; /* quoted, and a comma */
	char *digit = digests + entry * (number % FLEET_CHUNKS) + 1 + number;

	*digit = *digit == '0' ? '1' : '0';
}

void
fleet_manifest_answer(struct hreq *r, int64_t version)
{
	static int64_t last_version;
	static int sent, of_version;
	GString *out = g_string_new(NULL);
	size_t digests;

	g_string_printf(out,
	    "{\"model\":\"" FLEET_MODEL "\",\"version\":%" G_GINT64_FORMAT
	    ",\"chunkBytes\":%d,\"layers\":%d,\"digests\":[",
	    version, FLEET_CHUNK_BYTES + (sent++ < bad_sizes ? 1000 : 0),
	    FLEET_LAYERS);
	digests = out->len;
	add_digests(out, version);
	if (version != last_version)
		of_version = 0;
	last_version = version;
	if (of_version++ < bad_digests)
		corrupt_digest(out->str + digests, (unsigned int)of_version);
	g_string_append(out, "]}");
	hreq_answer(
	    r, 200, "Content-Type: application/json\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}
