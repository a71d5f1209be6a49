/* Authentication with the shared key at the start of a connection. */

#include <string.h>

#include "common/common_internal.h"

static const struct msg_field hello_fields[] = {
	MSG_FIELD(struct conn_hello, id, MSG_STR, CONN_ID_MAX),
	MSG_FIELD(struct conn_hello, nonce, MSG_BIN, CONN_NONCE_BYTES),
};
const struct msg_desc conn_hello_desc =
    MSG_DESC(1, "hello", struct conn_hello, hello_fields);

static const struct msg_field proof_fields[] = {
	MSG_FIELD(struct conn_proof, proof, MSG_DIGEST, 0),
};
const struct msg_desc conn_proof_desc =
    MSG_DESC(2, "proof", struct conn_proof, proof_fields);

void
conn_make_proof(const struct conn_node *node, bool by_dialler,
    const char *prover, const uint8_t *prover_nonce, const char *checker,
    const uint8_t *checker_nonce, struct digest *out)
{
	GByteArray *text = g_byte_array_new();
	const char *label = by_dialler ? "dialler" : "acceptor";

	g_byte_array_append(text, (const guint8 *)label, strlen(label) + 1);
	g_byte_array_append(text, (const guint8 *)prover, strlen(prover) + 1);
	g_byte_array_append(text, (const guint8 *)checker, strlen(checker) + 1);
	g_byte_array_append(text, prover_nonce, CONN_NONCE_BYTES);
	g_byte_array_append(text, checker_nonce, CONN_NONCE_BYTES);
	hmac_of(node->key, node->key_len, text->data, text->len, out);
	g_byte_array_unref(text);
}
