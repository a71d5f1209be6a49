#ifndef COMMON_H
#define COMMON_H

/*
 * common: what every package shares. Errors with their verdict, the clock
 * interface, digests, counters, the time line of events, log lines, the
 * codec and connections between the system's own processes, and the checked
 * settings tree.
 *
 * Everything runs on one thread, on the default GLib main loop. Times are
 * int64_t; the unit is part of the name (`_us`, `_ms`). Functions that can
 * fail take a `struct err *` as last argument and return false (or NULL);
 * the struct then says what went wrong and whether a request may have run.
 */

#include <sys/queue.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The struct of `type` whose `member` is at `ptr`: callbacks of timers, tasks
 * and descriptors get a pointer to the member that they were set with. */
#define CONTAINER_OF(ptr, type, member) \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

/* ------------------------------------------------------------------ */
/* Errors and verdicts                                                 */
/* ------------------------------------------------------------------ */

/* Whether the request an error is about may have had an effect. */
enum verdict {
	VERDICT_NOT_RUN, /* certain: no target began it */
	VERDICT_MAY_HAVE_RUN, /* a target may have begun it */
	VERDICT_RAN, /* a target finished it */
};

enum err_code {
	ERR_NONE,
	ERR_INVALID, /* malformed input; repeating it is no use */
	ERR_UNAUTHORISED, /* wrong or missing token or key */
	ERR_NOT_FOUND,
	ERR_CONFLICT, /* a conditional write lost */
	ERR_TOO_LARGE,
	ERR_OVERLOADED, /* refused by a limit; see retry_after_ms */
	ERR_DEADLINE, /* the deadline passed or cannot be met */
	ERR_UNAVAILABLE, /* the other end is down or cannot be reached */
	ERR_CANCELLED,
	ERR_STALE_FENCE, /* an order with an old fencing number */
	ERR_CORRUPT, /* bytes do not match their digest */
	ERR_LEAVING, /* the target is draining */
	ERR_WRONG_VERSION, /* the version asked for is not loaded */
	ERR_IN_DOUBT, /* a keyed request whose outcome is unknown */
	ERR_INTERNAL,
	ERR_CODES, /* number of codes */
};

#define ERR_MESSAGE_MAX 240

struct err {
	enum err_code code;
	enum verdict verdict;
	unsigned int retry_after_ms; /* 0: no advice */
	char message[ERR_MESSAGE_MAX];
};

/* Fills `e` (may be NULL) and always returns false, for `return err_set(...)`. */
bool err_set(struct err *e, enum err_code code, enum verdict verdict,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
bool err_is(const struct err *e); /* true when `e` holds an error */
const char *err_code_name(enum err_code code); /* "NOT_FOUND", ... */
/* ERR_INTERNAL for an unknown name. */
enum err_code err_code_from_name(const char *name);
const char *verdict_name(enum verdict verdict); /* "NOT_RUN", ... */
/* MAY_HAVE_RUN for an unknown name: the cautious reading. */
enum verdict verdict_from_name(const char *name);
/* HTTP status an error is answered with, and the reverse reading. */
unsigned int err_http_status(const struct err *e);

/* ------------------------------------------------------------------ */
/* Clock                                                               */
/* ------------------------------------------------------------------ */

/*
 * The clock is passed in, so that decisions can be driven by tests and traces.
 * Deadlines and leases use the monotonic reading only; the wall reading is
 * for people.
 */
struct clk {
	int64_t (*monotonic_us)(void *ctx);
	int64_t (*wall_us)(void *ctx);
	void *ctx;
};

const struct clk *clk_system(void);
int64_t clk_now_us(const struct clk *clock);
int64_t clk_now_ms(const struct clk *clock);
int64_t clk_wall_us(const struct clk *clock);

/* A clock that moves only when told to; for tests and trace replay. */
struct clk_fake {
	struct clk clock;
	int64_t now_us;
};
void clk_fake_init(struct clk_fake *fake, int64_t now_us);
void clk_fake_advance_ms(struct clk_fake *fake, int64_t ms);

/* ------------------------------------------------------------------ */
/* Digests, random numbers                                             */
/* ------------------------------------------------------------------ */

#define DIGEST_BYTES 32
#define DIGEST_HEX (2 * DIGEST_BYTES + 1)

/* A SHA-256 digest. All zero means "none". */
struct digest {
	uint8_t bytes[DIGEST_BYTES];
};

void digest_of(const void *data, size_t len, struct digest *out);
bool digest_equal(const struct digest *a, const struct digest *b);
bool digest_is_none(const struct digest *d);
void digest_to_hex(const struct digest *d, char out[DIGEST_HEX]);
bool digest_from_hex(const char *hex, struct digest *out);
guint digest_hash(gconstpointer d); /* for GHashTable */
gboolean digest_equal_ptr(gconstpointer a, gconstpointer b);

/* Incremental hashing, so that large inputs are hashed in slices. */
struct digest_stream;
struct digest_stream *digest_stream_new(void);
void digest_stream_add(struct digest_stream *s, const void *data, size_t len);
void digest_stream_end(struct digest_stream *s, struct digest *out); /* frees */
void digest_stream_free(struct digest_stream *s);

void hmac_of(const void *key, size_t key_len, const void *data, size_t len,
    struct digest *out);
/* Comparison in constant time, for proofs and tokens. */
bool digest_equal_secret(const struct digest *a, const struct digest *b);
void random_bytes(void *out, size_t len); /* from the system's source */

/* Stable 64-bit hash of bytes mixed with a seed; same on all hosts. */
uint64_t hash64(uint64_t seed, const void *data, size_t len);

/* A small generator for decisions that tests repeat from a seed. */
struct rng {
	uint64_t state;
};
void rng_seed(struct rng *r, uint64_t seed);
uint64_t rng_next(struct rng *r);
uint64_t rng_below(struct rng *r, uint64_t bound); /* bound > 0 */

/* ------------------------------------------------------------------ */
/* Counters                                                            */
/* ------------------------------------------------------------------ */

/*
 * Named 64-bit counters and gauges. A counter is looked up once and kept;
 * adding is one addition. Names: `package_what_unit`, lower case.
 */
struct ctr;
struct ctr_set;

struct ctr_set *ctr_set_new(void);
void ctr_set_free(struct ctr_set *set);
struct ctr *ctr_get(struct ctr_set *set, const char *name);
void ctr_add(struct ctr *c, int64_t n);
void ctr_put(struct ctr *c, int64_t value); /* gauge */
int64_t ctr_value(const struct ctr *c);
int64_t ctr_read(struct ctr_set *set, const char *name); /* 0 if absent */
/* Appends `name value\n` for each, sorted by name. */
void ctr_print(const struct ctr_set *set, GString *out);

/* ------------------------------------------------------------------ */
/* Time line                                                           */
/* ------------------------------------------------------------------ */

/*
 * Events of this process, stamped by a hybrid logical clock: the upper bits
 * are wall milliseconds, the lower 16 a counter. Every frame between
 * processes carries the sender's stamp and the receiver moves its own past
 * it, so that sorting all processes' events by stamp never puts an effect
 * before its cause, whatever the hosts' clocks say.
 */
#define TL_KEEP 4096 /* events kept per process; older ones are dropped */

struct tl_event {
	uint64_t seq; /* grows by one per process */
	uint64_t hlc;
	char kind[32]; /* e.g. "rollout_whole" */
	char subject[96]; /* what it is about: version, host, request */
	char text[160];
};

struct tl;
struct tl *tl_new(const struct clk *clock, const char *node);
void tl_free(struct tl *tl);
const char *tl_node(const struct tl *tl);
uint64_t tl_stamp(struct tl *tl); /* stamp for an outgoing frame */
void tl_seen(struct tl *tl, uint64_t hlc); /* stamp of a received frame */
void tl_add(struct tl *tl, const char *kind, const char *subject,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Calls `each` for kept events with seq > since, oldest first; returns the
 * newest seq. */
uint64_t tl_each(const struct tl *tl, uint64_t since,
    void (*each)(const struct tl_event *event, void *ctx), void *ctx);

/* ------------------------------------------------------------------ */
/* Log lines (log4c): only for changes of state                        */
/* ------------------------------------------------------------------ */

void log_open(const char *program); /* lines go to standard error */
void log_close(void);
void log_info(const char *format, ...) G_GNUC_PRINTF(1, 2);
void log_warn(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* ------------------------------------------------------------------ */
/* Message codec                                                       */
/* ------------------------------------------------------------------ */

/*
 * A message is a plain struct described by a table of fields; one encoder
 * and one decoder serve all messages. On the wire it is a msgpack array
 * `[type, hlc, field...]`. Extra fields are ignored and missing ones are
 * zero, so that neighbouring releases understand each other.
 */
struct slice { /* borrowed bytes, not terminated */
	const uint8_t *data;
	size_t len;
};

struct slice slice_str(const char *s); /* NULL gives an empty slice */
char *slice_dup(struct slice s); /* terminated copy; g_free */
/* Terminated copy into `out`, cut to its size. */
void slice_copy(struct slice s, char *out, size_t size);

enum msg_kind {
	MSG_U64, /* uint64_t */
	MSG_I64, /* int64_t */
	MSG_BIN, /* struct slice, raw bytes */
	MSG_STR, /* struct slice, UTF-8 text */
	MSG_DIGEST, /* struct digest */
};

struct msg_field {
	enum msg_kind kind;
	size_t offset;
	size_t max; /* largest length in bytes, or largest value; 0: any */
};

struct msg_desc {
	unsigned int type; /* see docs/INTERFACES.md, section 4 */
	const char *name;
	size_t size; /* of the struct */
	const struct msg_field *fields;
	size_t nfields;
};

#define MSG_FIELD(s, f, k, m)                                     \
	{                                                         \
		.kind = (k), .offset = offsetof(s, f), .max = (m) \
	}
#define MSG_DESC(t, n, s, table)                                  \
	{                                                         \
		.type = (t), .name = (n), .size = sizeof(s),      \
		.fields = (table), .nfields = G_N_ELEMENTS(table) \
	}

/* Appends the encoded message to `out`. */
void msg_pack(GByteArray *out, uint64_t hlc, const struct msg_desc *desc,
    const void *message);

/*
 * A received message. Slices read from it borrow from the bytes given to
 * msg_open and are valid until msg_close or until those bytes go.
 */
struct msg {
	unsigned int type;
	uint64_t hlc;
	void *priv;
};
bool msg_open(struct msg *m, const void *data, size_t len, struct err *err);
/* Checks kinds and bounds; fills the struct at `out` (desc->size bytes). */
bool msg_read(const struct msg *m, const struct msg_desc *desc, void *out,
    struct err *err);
void msg_close(struct msg *m);
/*
 * Whether the bytes are a row of whole msgpack values, arrays at most
 * MSG_DEPTH_MAX deep and no maps. To be asked before the library unpacks
 * bytes from another process: it allocates for as many elements as a header
 * claims, so that five bytes would take 34 GB.
 */
#define MSG_DEPTH_MAX 4
bool msg_bounded(struct slice s);

/* ------------------------------------------------------------------ */
/* Connections between the system's processes (TCP)                    */
/* ------------------------------------------------------------------ */

/*
 * A connection carries frames (4 bytes length, then a message) both ways.
 * Both ends prove the shared key first: each sends a nonce, each answers
 * with an HMAC over both nonces and the names; nothing else is read before.
 */
#define FRAME_MAX (2u << 20) /* a chunk slice or a 1 MB branch, with room */

struct conn;

struct conn_node { /* what a process needs to speak to others */
	const char *id; /* this node's name */
	const uint8_t *key;
	size_t key_len;
	const struct clk *clock;
	struct ctr_set *counters;
	struct tl *timeline;
};

struct conn_ops {
	/* Both proofs are good; sending is possible from now on. */
	void (*opened)(struct conn *c, void *ctx);
	/* A whole message. It may close the connection. */
	void (*message)(struct conn *c, const struct msg *m, void *ctx);
	/* The queue of unsent bytes fell below CONN_LOW_WATER. May be NULL. */
	void (*drained)(struct conn *c, void *ctx);
	/* Last call for this connection, exactly once; it is freed after. */
	void (*closed)(struct conn *c, const struct err *why, void *ctx);
};

#define CONN_LOW_WATER (256u << 10)

/* Starts to connect to `address` ("ip:port"). Never NULL; a failure arrives
 * by `closed` from the loop. `node` and `ops` must outlive the connection. */
struct conn *conn_dial(const struct conn_node *node, const char *address,
    const struct conn_ops *ops, void *ctx);
void conn_send(
    struct conn *c, const struct msg_desc *desc, const void *message);
size_t conn_queued(const struct conn *c); /* bytes not yet sent */
/* Reading stops while paused; the peer is held back by TCP. */
void conn_pause(struct conn *c, bool paused);
const char *conn_peer(const struct conn *c); /* peer's node id, "" before */
bool conn_is_open(const struct conn *c);
void conn_set_ctx(struct conn *c, void *ctx);
/* `closed` follows from the loop, not from within this call. */
void conn_close(struct conn *c);

struct conn_server;
/* `accepted` is asked for ops and context when a peer's proof is good; ops'
 * `opened` is then called. Address is "ip:port"; port 0 picks one. */
struct conn_server *conn_listen(const struct conn_node *node,
    const char *address,
    const struct conn_ops *(*accepted)(
	struct conn *c, void **ctx_out, void *ctx),
    void *ctx, struct err *err);
unsigned int conn_server_port(const struct conn_server *s);
void conn_server_free(struct conn_server *s); /* open connections stay */

/* ------------------------------------------------------------------ */
/* Datagrams (UDP), each with a proof of the shared key                */
/* ------------------------------------------------------------------ */

#define DGRAM_MAX 1200 /* stays below any usual path MTU */

struct dgram;
struct dgram *dgram_open(const struct conn_node *node, const char *address,
    void (*message)(const char *from, const struct msg *m, void *ctx),
    void *ctx, struct err *err);
/* False when the message does not fit; loss is silent. */
bool dgram_send(struct dgram *d, const char *to, const struct msg_desc *desc,
    const void *message);
/*
 * The same in two steps: packed and signed once, then sent to each of many.
 * NULL when the message does not fit; g_byte_array_unref. Sent bytes and
 * datagrams count under the message's name.
 */
GByteArray *dgram_pack(
    struct dgram *d, const struct msg_desc *desc, const void *message);
void dgram_send_packed(struct dgram *d, const char *to,
    const struct msg_desc *desc, const GByteArray *packed);
unsigned int dgram_port(const struct dgram *d);
void dgram_free(struct dgram *d);

/* ------------------------------------------------------------------ */
/* Settings tree (YAML)                                                */
/* ------------------------------------------------------------------ */

/*
 * A YAML document as a tree whose nodes know their line. A schema is a table
 * of rules with paths such as `models.*.versions.*.bytes`; `*` stands for any
 * key, `[]` for each item of a list (`rules.[].weight`). A document is checked whole before any
 * of it is used: an unknown key, a wrong type, a value out of bounds or a
 * missing required key is refused with file, line, key and what is allowed:
 *
 *   node.yaml:3: key 'node.id': missing; allowed: a string of 1 to 64 bytes
 *
 * Only the plain core of YAML is taken: one document, no anchors, aliases or
 * tags, no key twice. Keys are 1 to CFG_KEY_MAX letters, digits, `_` and `-`.
 */
enum cfg_type {
	CFG_MAP,
	CFG_LIST,
	CFG_STRING,
	CFG_INT,
	CFG_BOOL,
};

/* What a CFG_STRING must look like. */
enum cfg_form {
	CFG_TEXT, /* any text */
	CFG_NAME, /* lower-case letters, digits and `-` */
	CFG_HEX, /* an even number of lower-case hex digits */
	CFG_ADDRESS, /* "ip:port" */
	CFG_URL, /* "http://..." */
	CFG_DECIMAL, /* a number such as 0.19; read with cfg_num */
};

struct cfg_rule {
	const char *path; /* "node.id"; a map or list has its own rule too */
	enum cfg_type type;
	bool required; /* within its parent, when the parent is there */
	int64_t min, max; /* value of CFG_INT, length of CFG_STRING,
			   * entries of CFG_MAP and CFG_LIST; both 0: any */
	enum cfg_form form; /* CFG_STRING */
	const char *choices; /* CFG_STRING: "a|b|c"; NULL: any */
	const char *fallback; /* default as text; NULL: none */
	const char *unit; /* for docs/SETTINGS.md: "ms", "bytes", ... */
	const char *about; /* one sentence for docs/SETTINGS.md */
};

struct cfg_schema {
	const struct cfg_rule *rules;
	size_t nrules;
};

#define CFG_DOCUMENT_MAX (1u << 20) /* the object API's largest value */
#define CFG_KEY_MAX 64
#define CFG_DEPTH_MAX 16 /* nested maps and lists; the charts need 7 */
#define CFG_NODES_MAX (1u << 16) /* keeps a hostile document's tree small */

struct cfg;
/* `name` is the file or branch named in errors. ERR_INVALID on refusal. The
 * schema must outlive the tree; NULL takes any tree, for chained cfg_edit. */
struct cfg *cfg_parse(const char *name, const char *text, size_t len,
    const struct cfg_schema *schema, struct err *err);
struct cfg *cfg_load(
    const char *path, const struct cfg_schema *schema, struct err *err);
void cfg_free(struct cfg *cfg);
/* For checks beyond a schema: an error in the same form about the key at
 * `path` (its nearest parent's line when absent). Always returns false. */
bool cfg_refuse(const struct cfg *cfg, const char *path, const char *allowed,
    struct err *err, const char *format, ...) G_GNUC_PRINTF(5, 6);

/* Readers take a path built by printf: cfg_int(c, "models.%s.place", name).
 * A key that is absent gives the rule's fallback (0, "", false without one).
 * Strings are borrowed from the tree. A name that comes from outside must be
 * free of dots: cfg_key_valid. */
bool cfg_key_valid(const char *key);
bool cfg_has(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
const char *cfg_str(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
int64_t cfg_int(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Of a CFG_STRING in the form CFG_DECIMAL. */
double cfg_num(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
bool cfg_bool(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Number of entries of a map or list, 0 if absent. */
size_t cfg_count(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Key of a map's entry i in the document's order; NULL past the end. */
const char *cfg_key(const struct cfg *cfg, size_t i, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
/* List items are addressed as "rules.0.weight". A key that holds a dot cannot
 * be addressed and is refused when parsing. */
/* Whether the list at `path` holds the string. `cfg` may be NULL. */
bool cfg_list_has(const struct cfg *cfg, const char *path, const char *item);
int cfg_line(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3); /* 0 if absent */
/* A copy of the document with one value set (the parents are made when
 * missing), as text that the caller frees; comments are lost. For operator
 * commands that edit a branch. `value` is YAML, so that a whole map or list
 * can be set in flow form; NULL removes the key, ERR_NOT_FOUND if absent. An
 * index one past a list's end appends. The result is not checked against the
 * schema: parse it after the last edit. */
char *cfg_edit(const struct cfg *cfg, const char *path, const char *value,
    struct err *err);
/* Markdown table of a schema: key, type, unit, default, bounds, meaning. */
void cfg_print_schema(const struct cfg_schema *schema, GString *out);

/* ------------------------------------------------------------------ */
/* Settings of this system; docs/SETTINGS.md is printed from them       */
/* ------------------------------------------------------------------ */

#define CFG_ROOT_TEAM "platform" /* owns the root branch */

extern const struct cfg_schema cfg_node_schema; /* one file a process */
extern const struct cfg_schema cfg_branch_schema; /* a team's branch */
extern const struct cfg_schema cfg_root_schema; /* the root branch */
/* One file a process of `gateway` and `keeper`. */
extern const struct cfg_schema cfg_serve_schema;

/* What a schema cannot say. The trees were parsed with the schemas above;
 * errors are those of cfg_refuse. */
bool cfg_check_node(const struct cfg *node, struct err *err);
/* Also when the root changes, for every branch. `root` NULL leaves out the
 * checks against the root branch. */
bool cfg_check_branch(
    const struct cfg *root, const struct cfg *branch, struct err *err);
void cfg_print_settings(GString *out); /* the whole of docs/SETTINGS.md */

#endif
