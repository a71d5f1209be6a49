#ifndef COMMON_INTERNAL_H
#define COMMON_INTERNAL_H

/* Shared by the files of the common package only. */

#include <gio/gio.h>

#include "common/common.h"

/* Parses "ip:port" or "[ip6]:port". NULL and an error when malformed. */
GSocketAddress *net_address(const char *text, struct err *err);
/* A non-blocking socket of the address's family. */
GSocket *net_socket(GSocketAddress *address, GSocketType type, struct err *err);

/* ------------------------------------------------------------------ */
/* Proof of the shared key, before anything else on a connection        */
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
 * The prover's proof over both names and nonces. A label differs by
 * direction, or a peer could send our own proof back to us on a second
 * connection and be believed.
 */
void conn_make_proof(const struct conn_node *node, bool by_dialler,
    const char *prover, const uint8_t *prover_nonce, const char *checker,
    const uint8_t *checker_nonce, struct digest *out);

#endif
