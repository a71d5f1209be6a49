#ifndef COMMON_INTERNAL_H
#define COMMON_INTERNAL_H

/* Internal to the common package. */

#include <gio/gio.h>

#include "common/common.h"

/* Parses "ip:port" or "[ip6]:port". Returns NULL and sets `err` if the text is
 * malformed. */
GSocketAddress *net_address(const char *text, struct err *err);
/* Creates a non-blocking socket of the address's family. */
GSocket *net_socket(GSocketAddress *address, GSocketType type, struct err *err);

/* ------------------------------------------------------------------ */
/* Authentication with the shared key, when a connection opens          */
/* ------------------------------------------------------------------ */

#define CONN_NONCE_BYTES 32
#define CONN_ID_MAX 64

struct conn_hello {
	struct slice id;
	struct slice nonce;
};

struct conn_proof {
	struct digest proof;
};

extern const struct msg_desc conn_hello_desc;
extern const struct msg_desc conn_proof_desc;

/*
 * Computes the prover's HMAC over both names and nonces. It includes a label
 * that depends on the direction, since otherwise a peer could authenticate
 * itself by reflecting this node's own proof on a second connection.
 */
void conn_make_proof(const struct conn_node *node, bool by_dialler,
    const char *prover, const uint8_t *prover_nonce, const char *checker,
    const uint8_t *checker_nonce, struct digest *out);

#endif
