#ifndef COMMON_H
#define COMMON_H

/*
 * common: facilities that all packages use: errors with a verdict, the clock
 * interface, digests, counters, the event timeline, log lines, the message
 * codec and the connections between the system's processes, and the
 * schema-checked settings tree.
 *
 * All code runs on one thread, on the default GLib main loop. Times are
 * int64_t with the unit in the name (`_us`, `_ms`). Functions that can fail
 * take a `struct err *`, usually as last argument, and return false or NULL on
 * failure; the struct then holds the cause and whether the request may have
 * been executed.
 */

#include <sys/queue.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The struct of `type` whose `member` is at `ptr`. Callbacks of timers, tasks
 * and descriptors receive a pointer to the member they were registered with. */
#define CONTAINER_OF(ptr, type, member) \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

/* ------------------------------------------------------------------ */
/* Errors and verdicts                                                 */
/* ------------------------------------------------------------------ */

/* Whether the failed request may have been executed by a target. */
enum verdict {
	VERDICT_NOT_RUN, /* certainly not started by any target */
	VERDICT_MAY_HAVE_RUN, /* possibly started by a target */
	VERDICT_RAN, /* completed by a target */
};

enum err_code {
	ERR_NONE,
	ERR_INVALID, /* malformed input; not retryable */
	ERR_UNAUTHORISED, /* wrong or missing token or key */
	ERR_NOT_FOUND,
	ERR_CONFLICT, /* the condition of a conditional write failed */
	ERR_TOO_LARGE,
	ERR_OVERLOADED, /* refused by a limit; see retry_after_ms */
	ERR_DEADLINE, /* the deadline passed or cannot be met */
	ERR_UNAVAILABLE, /* the peer is down or unreachable */
	ERR_CANCELLED,
	ERR_STALE_FENCE, /* the order has an outdated fencing number */
	ERR_CORRUPT, /* data that cannot be what it should be */
	ERR_LEAVING, /* the target is draining */
	ERR_WRONG_VERSION, /* the requested version is not loaded */
	ERR_IN_DOUBT, /* a request with an idempotency key, outcome unknown */
	ERR_INTERNAL,
	ERR_CODES, /* number of codes */
};

#define ERR_MESSAGE_MAX 240

struct err {
	enum err_code code;
	enum verdict verdict;
	unsigned int retry_after_ms; /* 0: none given */
	char message[ERR_MESSAGE_MAX];
};

/* Fills `e` unless it is NULL. Always returns false, for
 * `return err_set(...)`. */
bool err_set(struct err *e, enum err_code code, enum verdict verdict,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
bool err_is(const struct err *e); /* true if `e` holds an error */
const char *err_code_name(enum err_code code); /* "NOT_FOUND", ... */
/* ERR_INTERNAL for an unknown name. */
enum err_code err_code_from_name(const char *name);
const char *verdict_name(enum verdict verdict); /* "NOT_RUN", ... */
/* VERDICT_MAY_HAVE_RUN, the conservative value, for an unknown name. */
enum verdict verdict_from_name(const char *name);
/* HTTP status with which the error is reported to a caller. */
unsigned int err_http_status(const struct err *e);

/* ------------------------------------------------------------------ */
/* Clock                                                               */
/* ------------------------------------------------------------------ */

/*
 * The clock is a parameter so that tests and trace replay can control time.
 * Deadlines, leases and the ages of checks use only the monotonic time, which
 * also counts the time for which the host was suspended; wall-clock time is for
 * timestamps that people read.
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

/*
 * Whether a timer that was due at `due_us` fires late because the process was
 * held up. What has arrived meanwhile may not be read yet, so a timer that ends
 * something for lack of input waits for CLK_READ_MS then, but only once.
 */
#define CLK_READ_MS 50
bool clk_is_late(const struct clk *clock, int64_t due_us);

/*
 * The same for input that is larger than the buffers of a connection: its rest
 * is sent only after the process reads again. Initialise to zero; one per timer.
 */
struct clk_catch_up {
	int64_t quiet_us; /* without input after which the wait ends; 0: not
			   * waiting */
	int64_t end_us; /* of the wait */
	int64_t heard_us; /* when `received` last changed */
	uint64_t received;
};

/*
 * Whether a timer that was due at `due_us`, and has fired, has to wait for
 * CLK_READ_MS and ask again: it was late, and input still arrives. `received`
 * is any number that changes with each input. The wait ends after two seconds.
 */
bool clk_catch_up(
    struct clk_catch_up *c, int64_t now_us, int64_t due_us, uint64_t received);

/* A clock that is advanced explicitly; for tests and trace replay. */
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

/* A SHA-256 digest. All zero bytes mean "none". */
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

/* Incremental hashing, for large inputs that are hashed in slices. */
struct digest_stream;
struct digest_stream *digest_stream_new(void);
void digest_stream_add(struct digest_stream *s, const void *data, size_t len);
void digest_stream_end(struct digest_stream *s, struct digest *out); /* frees */
void digest_stream_free(struct digest_stream *s);

void hmac_of(const void *key, size_t key_len, const void *data, size_t len,
    struct digest *out);
/* Constant-time comparison, for authentication codes and tokens. */
bool digest_equal_secret(const struct digest *a, const struct digest *b);
void random_bytes(void *out, size_t len); /* cryptographically secure */

/* Seeded 64-bit hash; the result is the same on all hosts. */
uint64_t hash64(uint64_t seed, const void *data, size_t len);

/* A seeded pseudo-random generator, so that tests can repeat decisions. */
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
 * Named 64-bit counters and gauges. Frequent users look a counter up once and
 * retain the pointer, so that an update costs one addition. Names have the
 * form `package_what_unit`, in lower case.
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
/* Event timeline                                                      */
/* ------------------------------------------------------------------ */

/*
 * Events of this process, timestamped by a hybrid logical clock: the upper
 * bits are wall-clock milliseconds, the lower 16 a counter. Every frame
 * between processes carries the sender's timestamp, and the receiver advances
 * its clock past it. Events of all processes sorted by timestamp are therefore
 * in causal order even when the hosts' clocks differ.
 */
#define TL_EVENTS_MAX 4096 /* per process; the oldest are dropped */

struct tl_event {
	uint64_t seq; /* incremented for each event of the process */
	uint64_t hlc;
	char kind[32]; /* e.g. "rollout_whole" */
	char subject[96]; /* the version, host or request concerned */
	char text[160];
};

struct tl;
struct tl *tl_new(const struct clk *clock, const char *node);
void tl_free(struct tl *tl);
const char *tl_node(const struct tl *tl);
uint64_t tl_stamp(struct tl *tl); /* timestamp of an outgoing frame */
/* Advances the clock past the timestamp of a received frame. */
void tl_observe(struct tl *tl, uint64_t hlc);
void tl_add(struct tl *tl, const char *kind, const char *subject,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Calls `each` for the retained events with seq > since, oldest first. Returns
 * the newest seq. */
uint64_t tl_each(const struct tl *tl, uint64_t since,
    void (*each)(const struct tl_event *event, void *ctx), void *ctx);

/* ------------------------------------------------------------------ */
/* Log lines (log4c), for state changes only                           */
/* ------------------------------------------------------------------ */

void log_open(const char *program); /* logs to standard error */
void log_close(void);
void log_info(const char *format, ...) G_GNUC_PRINTF(1, 2);
void log_warn(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* ------------------------------------------------------------------ */
/* Message codec                                                       */
/* ------------------------------------------------------------------ */

/*
 * A message is a plain struct described by a table of fields; one encoder
 * and one decoder handle all messages. The wire format is a msgpack array
 * `[type, hlc, field...]`. The decoder ignores extra fields and sets missing
 * ones to zero, so that consecutive releases are compatible.
 */
struct slice { /* borrowed bytes, not NUL-terminated */
	const uint8_t *data;
	size_t len;
};

struct slice slice_str(const char *s); /* NULL gives an empty slice */
char *slice_dup(struct slice s); /* NUL-terminated copy; g_free */
/* Copies into `out`, truncated to `size` and NUL-terminated. */
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
	size_t max; /* maximum length in bytes, or maximum value; 0: any */
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
 * A received message. Slices read from it point into the buffer passed to
 * msg_open; they are valid until msg_close or until the buffer is freed.
 */
struct msg {
	unsigned int type;
	uint64_t hlc;
	void *priv;
};
bool msg_open(struct msg *m, const void *data, size_t len, struct err *err);
/* Checks the kind and bounds of each field and fills the struct at `out`
 * (desc->size bytes). */
bool msg_read(const struct msg *m, const struct msg_desc *desc, void *out,
    struct err *err);
void msg_close(struct msg *m);
/*
 * Whether the bytes are a sequence of complete msgpack values without maps,
 * with arrays nested at most MSG_DEPTH_MAX deep. Must be checked before the
 * msgpack library unpacks bytes from another process: the library allocates
 * as many elements as an array header claims, so that five bytes can make it
 * allocate 34 GB.
 */
#define MSG_DEPTH_MAX 4
bool msg_bounded(struct slice s);

/* ------------------------------------------------------------------ */
/* Connections between the system's processes (TCP)                    */
/* ------------------------------------------------------------------ */

/*
 * A connection carries frames (a length of 4 bytes, then a message) in both
 * directions. The ends first authenticate each other with the shared key:
 * each sends a nonce and answers with an HMAC over both nonces and names. No
 * other message is accepted before that.
 */
#define FRAME_MAX (2u << 20) /* fits a chunk slice or a 1 MB branch */

struct conn;

struct conn_node { /* identity and context of this process */
	const char *id; /* this node's name */
	const uint8_t *key;
	size_t key_len;
	const struct clk *clock;
	struct ctr_set *counters;
	struct tl *timeline;
};

struct conn_ops {
	/* Authentication succeeded; conn_send is allowed. May be NULL. */
	void (*opened)(struct conn *c, void *ctx);
	/* A message arrived. The callback may close the connection. */
	void (*message)(struct conn *c, const struct msg *m, void *ctx);
	/* The queue of unsent bytes fell below CONN_LOW_WATER. May be NULL. */
	void (*drained)(struct conn *c, void *ctx);
	/* Called exactly once, as the last callback of the connection, which
	 * is freed afterwards. */
	void (*closed)(struct conn *c, const struct err *why, void *ctx);
};

#define CONN_LOW_WATER (256u << 10)

/* Starts to connect to `address` ("ip:port"). Never returns NULL; a failure is
 * reported by `closed` from the main loop. `node` and `ops` must outlive the
 * connection. */
struct conn *conn_dial(const struct conn_node *node, const char *address,
    const struct conn_ops *ops, void *ctx);
void conn_send(
    struct conn *c, const struct msg_desc *desc, const void *message);
size_t conn_queued(const struct conn *c); /* bytes not yet sent */
uint64_t conn_received(const struct conn *c); /* bytes */
/* Stops reading while paused, so that TCP flow control stops the peer. */
void conn_pause(struct conn *c, bool paused);
const char *conn_peer(const struct conn *c); /* peer's node id, or "" */
bool conn_is_open(const struct conn *c);
void conn_set_ctx(struct conn *c, void *ctx);
/* `closed` is called later from the main loop, not from within this call. */
void conn_close(struct conn *c);

struct conn_server;
/* `accepted` returns the ops and the context of a connection when its peer has
 * been authenticated; the `opened` callback follows. `address` is "ip:port";
 * port 0 selects a free one. */
struct conn_server *conn_listen(const struct conn_node *node,
    const char *address,
    const struct conn_ops *(*accepted)(
	struct conn *c, void **ctx_out, void *ctx),
    void *ctx, struct err *err);
unsigned int conn_server_port(const struct conn_server *s);
void conn_server_free(struct conn_server *s); /* keeps open connections */

/* ------------------------------------------------------------------ */
/* Datagrams (UDP), each authenticated with the shared key             */
/* ------------------------------------------------------------------ */

#define DGRAM_MAX 1200 /* below any usual path MTU */

struct dgram;
struct dgram *dgram_open(const struct conn_node *node, const char *address,
    void (*message)(const char *from, const struct msg *m, void *ctx),
    void *ctx, struct err *err);
/* False if the message does not fit. Loss is not reported. */
bool dgram_send(struct dgram *d, const char *to, const struct msg_desc *desc,
    const void *message);
/*
 * dgram_send in two steps, to encode and sign a message once for several
 * recipients. dgram_pack returns NULL if the message does not fit; free its
 * result with g_byte_array_unref. Datagrams and bytes sent are counted per
 * message name.
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
 * A YAML document as a tree whose nodes have line numbers. A schema is a table
 * of rules with paths such as `models.*.versions.*.bytes`; `*` matches any key
 * and `[]` each item of a list (`rules.[].weight`). The whole document is
 * checked before any of it is used: an unknown key, a wrong type, a value out
 * of bounds or a missing required key is refused with the file, the line, the
 * key and the allowed values:
 *
 *   node.yaml:3: key 'node.id': missing; allowed: a string of 1 to 64 bytes
 *
 * Only a subset of YAML is accepted: one document, no anchors, aliases, tags
 * or duplicate keys. Keys are 1 to CFG_KEY_MAX letters, digits, `_` and `-`.
 */
enum cfg_type {
	CFG_MAP,
	CFG_LIST,
	CFG_STRING,
	CFG_INT,
	CFG_BOOL,
};

/* The format of a CFG_STRING. */
enum cfg_form {
	CFG_TEXT, /* any text */
	CFG_NAME, /* lower-case letters, digits and `-` */
	CFG_HEX, /* an even number of lower-case hex digits */
	CFG_ADDRESS, /* "ip:port" */
	CFG_URL, /* "http://..." */
	CFG_DECIMAL, /* a number such as 0.19; read by cfg_num */
	CFG_POSITIVE, /* the same, and not near zero */
};

struct cfg_rule {
	const char *path; /* "node.id"; maps and lists have rules as well */
	enum cfg_type type;
	bool required; /* if its parent is present */
	int64_t min, max; /* value of CFG_INT, length of CFG_STRING,
			   * entries of CFG_MAP and CFG_LIST; both 0: any */
	enum cfg_form form; /* CFG_STRING */
	const char *choices; /* CFG_STRING: "a|b|c"; NULL: any */
	const char *fallback; /* default value as text; NULL: none */
	const char *unit; /* for docs/SETTINGS.md: "ms", "bytes", ... */
	const char *about; /* description for docs/SETTINGS.md */
};

struct cfg_schema {
	const struct cfg_rule *rules;
	size_t nrules;
};

#define CFG_DOCUMENT_MAX (1u << 20) /* the object API's maximum value size */
#define CFG_KEY_MAX 64
#define CFG_DEPTH_MAX 16 /* nested maps and lists; the state charts need 7 */
#define CFG_NODES_MAX (1u << 16) /* bounds the tree of a hostile document */

struct cfg;
/* `name` is the file or branch name used in errors. Fails with ERR_INVALID if
 * the document is refused. The schema must outlive the tree; without one
 * (NULL) any tree is accepted, for consecutive calls of cfg_edit. */
struct cfg *cfg_parse(const char *name, const char *text, size_t len,
    const struct cfg_schema *schema, struct err *err);
struct cfg *cfg_load(
    const char *path, const struct cfg_schema *schema, struct err *err);
void cfg_free(struct cfg *cfg);
/* For checks that a schema cannot express: sets an error of the same form for
 * the key at `path`, with the line of its nearest present parent if it is
 * absent. Always returns false. */
bool cfg_refuse(const struct cfg *cfg, const char *path, const char *allowed,
    struct err *err, const char *format, ...) G_GNUC_PRINTF(5, 6);

/* The accessors take a printf format for the path, as in
 * cfg_int(c, "models.%s.place", name). An absent key yields the rule's
 * fallback, or 0, "" or false if there is none. Strings are owned by the tree.
 * A name from external input must not contain dots: check it with
 * cfg_key_valid. List items have paths such as "rules.0.weight"; a key with a
 * dot is refused by the parser, since no path could address it. */
bool cfg_key_valid(const char *key);
bool cfg_has(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
const char *cfg_str(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
int64_t cfg_int(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Value of a CFG_STRING of the form CFG_DECIMAL or CFG_POSITIVE. */
double cfg_num(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
bool cfg_bool(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Number of entries of a map or list; 0 if absent. */
size_t cfg_count(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Key of entry `i` of a map, in document order; NULL past the end. */
const char *cfg_key(const struct cfg *cfg, size_t i, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
/* Whether the list at `path` contains the string. `cfg` may be NULL. */
bool cfg_list_has(const struct cfg *cfg, const char *path, const char *item);
int cfg_line(const struct cfg *cfg, const char *format, ...)
    G_GNUC_PRINTF(2, 3); /* 0 if absent */
/* Returns the document with one value set, as text to be freed with g_free,
 * for operator commands that edit a branch. Missing parents are created;
 * comments are lost. `value` is YAML, so that a map or list can be set in flow
 * style; NULL removes the key and fails with ERR_NOT_FOUND if it is absent. An
 * index one past the end of a list appends. The result is not checked against
 * the schema: parse it after the last edit. */
char *cfg_edit(const struct cfg *cfg, const char *path, const char *value,
    struct err *err);
/* Prints a schema as a Markdown table: key, type, unit, default, allowed
 * values and meaning. */
void cfg_print_schema(const struct cfg_schema *schema, GString *out);

/* ------------------------------------------------------------------ */
/* Schemas of this system's settings, printed as docs/SETTINGS.md       */
/* ------------------------------------------------------------------ */

#define CFG_ROOT_WORKSPACE "platform" /* workspace that owns the root branch */

/* The settings file of an `entry` or `side` process. */
extern const struct cfg_schema cfg_node_schema;
extern const struct cfg_schema cfg_branch_schema; /* a workspace's branch */
extern const struct cfg_schema cfg_root_schema; /* the root branch */
/* The settings file of a `gateway` or `keeper` process. */
extern const struct cfg_schema cfg_serve_schema;

/* Checks that a schema cannot express, of trees parsed with the schemas above.
 * Errors have the form of cfg_refuse. */
bool cfg_check_node(const struct cfg *node, struct err *err);
/* To be repeated for every branch when the root branch changes. Without `root`
 * (NULL) the checks against the root branch are omitted. */
bool cfg_check_branch(
    const struct cfg *root, const struct cfg *branch, struct err *err);
void cfg_print_settings(GString *out); /* the content of docs/SETTINGS.md */

#endif
