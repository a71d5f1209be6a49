/* The stand-in's messages, store, engines, origin and callers (see stand.h). */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <openssl/sha.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "stand.h"

/* ------------------------------------------------------------------ */
/* Time and record                                                     */
/* ------------------------------------------------------------------ */

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
st_now_ms(void)
{
	static int64_t begun_ms;
	struct timespec now;
	int64_t ms;

	clock_gettime(CLOCK_MONOTONIC, &now);
	ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	if (begun_ms == 0)
		begun_ms = ms - 1;
	return ms - begun_ms;
}

void
st_sleep_until(int64_t at_ms)
{
	int64_t left_ms = at_ms - st_now_ms();

	if (left_ms > 0)
		usleep((useconds_t)left_ms * 1000);
}

bool
st_record_open(const char *path)
{
	(void)st_now_ms();
	record = fopen(path, "w");
	return record != NULL;
}

void
st_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)st_now_ms() / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

/* ------------------------------------------------------------------ */
/* HTTP messages                                                       */
/* ------------------------------------------------------------------ */

const char *
st_header(const struct st_message *m, const char *name, char out[ST_TEXT])
{
	const char *line = strstr(m->head, "\r\n");
	size_t len = strlen(name), n;

	out[0] = '\0';
	while (line != NULL && line[2] != '\r' && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			line += len + 1;
			line += strspn(line, " ");
			n = strcspn(line, "\r");
			snprintf(out, ST_TEXT, "%.*s", (int)n, line);
			break;
		}
		line = strstr(line, "\r\n");
	}
	return out;
}

/* Receives more bytes; false at the end of the connection. */
static bool
receive(struct st_conn *c)
{
	ssize_t n;

	if (c->have == sizeof(c->in))
		return false;
	do {
		n = recv(c->fd, c->in + c->have, sizeof(c->in) - c->have, 0);
	} while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	c->have += (size_t)n;
	return true;
}

static void
consume(struct st_conn *c, size_t n)
{
	memmove(c->in, c->in + n, c->have - n);
	c->have -= n;
}

static bool
read_head(struct st_conn *c, struct st_message *m)
{
	const char *end;
	size_t n;

	while ((end = memmem(c->in, c->have, "\r\n\r\n", 4)) == NULL) {
		if (!receive(c))
			return false;
	}
	n = (size_t)(end - c->in) + 4;
	if (n > ST_HEAD_MAX)
		return false;
	memcpy(m->head, c->in, n);
	m->head[n] = '\0';
	consume(c, n);
	return true;
}

/* Moves `n` bytes of the connection to the end of the body. */
static bool
read_bytes(struct st_conn *c, struct st_message *m, size_t n)
{
	size_t part;

	m->body = realloc(m->body, m->body_len + n + 1);
	if (m->body == NULL)
		abort();
	while (n > 0) {
		if (c->have == 0 && !receive(c))
			return false;
		part = n < c->have ? n : c->have;
		memcpy(m->body + m->body_len, c->in, part);
		m->body_len += part;
		consume(c, part);
		n -= part;
	}
	m->body[m->body_len] = '\0';
	return true;
}

static bool
read_chunks(struct st_conn *c, struct st_message *m)
{
	const char *end;
	size_t n;

	for (;;) {
		while ((end = memmem(c->in, c->have, "\r\n", 2)) == NULL) {
			if (!receive(c))
				return false;
		}
		n = strtoul(c->in, NULL, 16);
		consume(c, (size_t)(end - c->in) + 2);
		if (!read_bytes(c, m, n))
			return false;
		while (c->have < 2) {
			if (!receive(c))
				return false;
		}
		consume(c, 2);
		if (n == 0)
			return true;
	}
}

bool
st_read(struct st_conn *c, struct st_message *m, bool is_answer)
{
	char text[ST_TEXT];

	memset(m, 0, sizeof(*m));
	if (!read_head(c, m))
		return false;
	if (is_answer)
		m->status = atoi(m->head + strlen("HTTP/1.1 "));
	else if (sscanf(m->head, "%15s %255s", m->method, m->target) != 2)
		return false;
	if (strcasecmp(st_header(m, "Transfer-Encoding", text), "chunked") == 0)
		return read_chunks(c, m);
	return read_bytes(
	    c, m, strtoul(st_header(m, "Content-Length", text), NULL, 10));
}

void
st_message_free(struct st_message *m)
{
	free(m->body);
	m->body = NULL;
}

bool
st_write(int fd, const void *data, size_t len)
{
	const char *at = data;
	ssize_t n;

	while (len > 0) {
		n = send(fd, at, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool
st_answer(int fd, int status, const char *headers, const void *body, size_t len)
{
	char head[2048];
	int n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status, headers,
	    len);

	return st_write(fd, head, (size_t)n) && st_write(fd, body, len);
}

bool
st_has_left(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN | POLLRDHUP };
	char byte;

	if (poll(&p, 1, 0) <= 0)
		return false;
	if ((p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
		return true;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	char ip[ST_TEXT];
	const char *colon = strrchr(text, ':');

	if (colon == NULL)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static int
new_socket(void)
{
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	return fd;
}

int
st_dial(const char *address)
{
	struct sockaddr_in at;
	int fd = new_socket();

	if (parse_address(address, &at) &&
	    connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return fd;
	close(fd);
	return -1;
}

struct server {
	char address[ST_TEXT];
	int fd; /* -1: it does not listen */
	st_handler *handler;
	void *ctx;
};

struct session {
	struct st_conn conn;
	st_handler *handler;
	void *ctx;
};

static void *
run_session(void *arg)
{
	struct session *s = arg;
	struct st_message m;

	while (st_read(&s->conn, &m, false)) {
		s->handler(&s->conn, &m, s->ctx);
		st_message_free(&m);
		if (s->conn.fd < 0)
			break;
	}
	st_message_free(&m);
	if (s->conn.fd >= 0)
		close(s->conn.fd);
	free(s);
	return NULL;
}

static void
start_thread(void *(*run)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg) != 0)
		abort();
	pthread_detach(thread);
}

static void *
run_server(void *arg)
{
	struct server *server = arg;
	struct session *s;
	int fd, on = 1;

	for (;;) {
		fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0) {
			usleep(1000);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		s = calloc(1, sizeof(*s));
		if (s == NULL)
			abort();
		s->conn.fd = fd;
		s->handler = server->handler;
		s->ctx = server->ctx;
		start_thread(run_session, s);
	}
	return NULL;
}

static bool
listen_again(struct server *s)
{
	struct sockaddr_in at;
	int fd = new_socket();

	if (!parse_address(s->address, &at) ||
	    bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 512) != 0) {
		close(fd);
		return false;
	}
	s->fd = fd;
	return true;
}

static void
stop_listening(struct server *s)
{
	int fd = s->fd;

	s->fd = -1;
	shutdown(fd, SHUT_RDWR); /* accept() returns */
	close(fd);
}

static struct server *
serve(const char *address, st_handler *handler, void *ctx)
{
	struct server *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	snprintf(s->address, sizeof(s->address), "%s", address);
	s->handler = handler;
	s->ctx = ctx;
	if (!listen_again(s)) {
		free(s);
		return NULL;
	}
	start_thread(run_server, s);
	return s;
}

bool
st_serve(const char *address, st_handler *handler, void *ctx)
{
	return serve(address, handler, ctx) != NULL;
}

/* Ends the connection without an answer, or amid it. */
static void
end_session(struct st_conn *c)
{
	close(c->fd);
	c->fd = -1;
}

/* ------------------------------------------------------------------ */
/* The store                                                           */
/* ------------------------------------------------------------------ */

#define OBJECTS_MAX 512
#define EVENTS_MAX 8192

struct object {
	char kind[32], name[64];
	char *text; /* as JSON; NULL: removed */
};

struct event {
	char kind[32];
	char *text; /* the object, as JSON */
	bool removed;
	int64_t revision;
};

static struct object objects[OBJECTS_MAX];
static size_t nobjects;
static struct event events[EVENTS_MAX];
static size_t nevents;
static int64_t revision = 100, history_from;
/* Cuts of watches and watches that wait, by the first letter of their kind. */
static unsigned int cuts[UINT8_MAX + 1], waiting_watches[UINT8_MAX + 1];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static void *
checked(void *p)
{
	if (p == NULL)
		abort();
	return p;
}

static struct object *
find_object(const char *kind, const char *name)
{
	size_t i;

	for (i = 0; i < nobjects; i++) {
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return &objects[i];
	}
	if (nobjects == OBJECTS_MAX)
		abort();
	snprintf(objects[nobjects].kind, sizeof(objects[0].kind), "%s", kind);
	snprintf(objects[nobjects].name, sizeof(objects[0].name), "%s", name);
	return &objects[nobjects++];
}

static void
add_event(const char *kind, const char *text, bool removed)
{
	struct event *e = &events[nevents];

	if (nevents++ == EVENTS_MAX)
		abort();
	snprintf(e->kind, sizeof(e->kind), "%s", kind);
	e->text = checked(strdup(text));
	e->removed = removed;
	e->revision = revision;
	pthread_cond_broadcast(&store_changed);
}

int64_t
st_store_put(const char *kind, const char *name, const char *spec)
{
	struct object *o;
	size_t size = strlen(spec) + 512;
	int64_t at_ms;

	pthread_mutex_lock(&store_lock);
	o = find_object(kind, name);
	free(o->text);
	o->text = checked(malloc(size));
	snprintf(o->text, size,
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%lld,\"created\":1,"
	    "\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}",
	    name, (long long)++revision, spec);
	add_event(kind, o->text, false);
	at_ms = st_now_ms();
	pthread_mutex_unlock(&store_lock);
	return at_ms;
}

int64_t
st_store_remove(const char *kind, const char *name)
{
	struct object *o;
	int64_t at_ms;

	pthread_mutex_lock(&store_lock);
	o = find_object(kind, name);
	if (o->text != NULL) {
		revision++;
		add_event(kind, o->text, true);
		free(o->text);
		o->text = NULL;
	}
	at_ms = st_now_ms();
	pthread_mutex_unlock(&store_lock);
	return at_ms;
}

void
st_store_discard_history(void)
{
	pthread_mutex_lock(&store_lock);
	history_from = revision;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

unsigned int
st_store_cut_watches(const char *kind)
{
	unsigned int n;

	pthread_mutex_lock(&store_lock);
	n = waiting_watches[(uint8_t)kind[0]];
	cuts[(uint8_t)kind[0]]++;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	return n;
}

static bool
has_event_after(const char *kind, int64_t since)
{
	size_t i = nevents;

	while (i-- > 0 && events[i].revision > since) {
		if (strcmp(events[i].kind, kind) == 0)
			return true;
	}
	return false;
}

static int
query_number(const char *target, const char *field, int fallback)
{
	const char *at = strstr(target, field);

	return at == NULL ? fallback : atoi(at + strlen(field));
}

/* With the lock held: waits for an event of the kind. Returns whether the watch
 * was cut off. */
static bool
await_event(const char *kind, int64_t since, int wait_ms)
{
	const unsigned int *cut = &cuts[(uint8_t)kind[0]];
	unsigned int before = *cut;
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	waiting_watches[(uint8_t)kind[0]]++;
	while (!has_event_after(kind, since) && since >= history_from &&
	    *cut == before &&
	    pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0)
		continue;
	waiting_watches[(uint8_t)kind[0]]--;
	return *cut != before;
}

static size_t
print_list(FILE *out, const char *kind)
{
	size_t i, n = 0;

	fputs("{\"items\":[", out);
	for (i = 0; i < nobjects; i++) {
		if (strcmp(objects[i].kind, kind) != 0 ||
		    objects[i].text == NULL)
			continue;
		fprintf(out, "%s%s", n++ > 0 ? "," : "", objects[i].text);
	}
	fprintf(out, "],\"hasMore\":false,\"at\":%lld}", (long long)revision);
	return n;
}

static void
print_events(FILE *out, const char *kind, int64_t since)
{
	size_t i, n = 0;

	fputs("{\"events\":[", out);
	for (i = 0; i < nevents; i++) {
		if (events[i].revision <= since ||
		    strcmp(events[i].kind, kind) != 0)
			continue;
		fprintf(out, "%s{\"removed\":%s,\"object\":%s}",
		    n++ > 0 ? "," : "", events[i].removed ? "true" : "false",
		    events[i].text);
	}
	fprintf(out, "],\"at\":%lld}", (long long)revision);
}

static void
on_store(struct st_conn *c, struct st_message *m, void *ctx)
{
	static const char path[] = "/-/objects/";
	char kind[32];
	char *body = NULL;
	size_t len = 0;
	int64_t since = query_number(m->target, "watch=", -1);
	FILE *out;
	bool gone = false, cut = false;

	(void)ctx;
	if (strcmp(m->method, "GET") != 0 ||
	    strncmp(m->target, path, strlen(path)) != 0) {
		st_answer(c->fd, 404, "", "", 0);
		return;
	}
	snprintf(kind, sizeof(kind), "%.*s",
	    (int)strcspn(m->target + strlen(path), "?/"),
	    m->target + strlen(path));
	out = checked(open_memstream(&body, &len));
	pthread_mutex_lock(&store_lock);
	if (since >= 0) {
		cut = await_event(
		    kind, since, query_number(m->target, "waitMs=", 0));
		gone = since < history_from;
		print_events(out, kind, since);
	} else
		print_list(out, kind);
	pthread_mutex_unlock(&store_lock);
	fclose(out);
	if (cut)
		end_session(c);
	else if (gone)
		st_answer(c->fd, 410, "", "", 0);
	else
		st_answer(c->fd, 200, "Content-Type: application/json\r\n",
		    body, len);
	free(body);
}

/* ------------------------------------------------------------------ */
/* Weights                                                             */
/* ------------------------------------------------------------------ */

static void
make_chunk(int64_t version, int index, uint8_t out[ST_CHUNK_BYTES])
{
	uint64_t x = (uint64_t)version * 1000003 + (uint64_t)index * 7919 + 1;
	size_t i;

	for (i = 0; i < ST_CHUNK_BYTES; i++) {
		x = x * 6364136223846793005ULL + 1442695040888963407ULL;
		out[i] = (uint8_t)(x >> 56);
	}
}

static void
print_manifest(FILE *out, int64_t version)
{
	uint8_t chunk[ST_CHUNK_BYTES], digest[SHA256_DIGEST_LENGTH];
	int i, j;

	fprintf(out,
	    "{\"model\":\"%s\",\"version\":%lld,\"chunkBytes\":%d,"
	    "\"layers\":%d,\"digests\":[",
	    ST_MODEL, (long long)version, ST_CHUNK_BYTES, ST_LAYERS);
	for (i = 0; i < ST_CHUNKS; i++) {
		make_chunk(version, i, chunk);
		SHA256(chunk, sizeof(chunk), digest);
		fputs(i > 0 ? ",\"" : "\"", out);
		for (j = 0; j < SHA256_DIGEST_LENGTH; j++)
			fprintf(out, "%02x", digest[j]);
		fputc('"', out);
	}
	fputs("]}", out);
}

#define ORIGIN_BITS_PER_S 7300000
#define PART_BYTES 4096

static struct server *origin;
static bool origin_is_down;
static pthread_mutex_t origin_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Waits until the origin's link, which all channels share, has carried so many
 * bytes more. */
static void
await_link(size_t bytes)
{
	static int64_t free_us;
	int64_t until_us, left_us;

	pthread_mutex_lock(&origin_lock);
	if (free_us < now_us())
		free_us = now_us();
	free_us += (int64_t)bytes * 8 * 1000000 / ORIGIN_BITS_PER_S;
	until_us = free_us;
	pthread_mutex_unlock(&origin_lock);
	left_us = until_us - now_us();
	if (left_us > 0)
		usleep((useconds_t)left_us);
}

/* Writes an answer at the pace of the origin's link. */
static void
answer_paced(struct st_conn *c, const void *body, size_t len)
{
	char head[128];
	const char *at = body;
	size_t part;
	int n = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", len);

	if (!st_write(c->fd, head, (size_t)n)) {
		end_session(c);
		return;
	}
	while (len > 0) {
		part = len < PART_BYTES ? len : PART_BYTES;
		await_link(part);
		if (origin_is_down || !st_write(c->fd, at, part)) {
			end_session(c);
			return;
		}
		at += part;
		len -= part;
	}
}

static void
on_origin(struct st_conn *c, struct st_message *m, void *ctx)
{
	int64_t version = query_number(m->target, "version=", 1);
	int index = query_number(m->target, "itemCount=", 0);
	uint8_t chunk[ST_CHUNK_BYTES];
	char *body = NULL;
	size_t len = 0;
	FILE *out;

	(void)ctx;
	if (origin_is_down) {
		end_session(c);
		return;
	}
	if (strncmp(m->target, "/-/piece/", 9) == 0) {
		make_chunk(version, index, chunk);
		answer_paced(c, chunk, sizeof(chunk));
		return;
	}
	out = checked(open_memstream(&body, &len));
	print_manifest(out, version);
	fclose(out);
	answer_paced(c, body, len);
	free(body);
}

void
st_origin_set_down(bool down)
{
	origin_is_down = down;
	if (down)
		stop_listening(origin);
	else if (!listen_again(origin))
		abort();
	st_record("the origin of weights %s", down ? "is down" : "is back");
}

/* ------------------------------------------------------------------ */
/* Engines                                                             */
/* ------------------------------------------------------------------ */

#define WARM_MS 300 /* of an order */
#define LOOK_MS 5 /* between two looks at the state of an engine */
#define EVENT_TEXT 64

st_begun *st_on_begun;
st_reached *st_on_reached;
st_ordered *st_on_ordered;

static bool
is_llm(const struct st_engine *e)
{
	return strcmp(e->service, ST_LLM) == 0;
}

/* What it holds, for its report and its entry. */
static void
print_weights(const struct st_engine *e, char *out, size_t size)
{
	if (e->version == 0)
		snprintf(out, size, "\"models\":[],\"layers\":null");
	else
		snprintf(out, size,
		    "\"models\":[{\"name\":\"%s\",\"version\":%lld,"
		    "\"adapters\":[]}],\"layers\":{\"from\":%d,\"to\":%d,"
		    "\"version\":%lld}",
		    ST_MODEL, (long long)e->version, e->from, e->to,
		    (long long)e->version);
}

void
st_engine_publish(struct st_engine *e)
{
	char weights[512], spec[2048], more[576] = "";

	print_weights(e, weights, sizeof(weights));
	if (is_llm(e))
		snprintf(
		    more, sizeof(more), ",\"stage\":\"colocated\",%s", weights);
	snprintf(spec, sizeof(spec),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"coldMs\":0,"
	    "\"sequence\":%u%s}",
	    e->service, e->address, e->zone, e->slots,
	    e->draining ? "draining" : "ready", e->sequence, more);
	st_store_put("servers", e->id, spec);
}

static void
answer_report(struct st_engine *e, int fd)
{
	char weights[512], body[1024];

	print_weights(e, weights, sizeof(weights));
	snprintf(body, sizeof(body),
	    "{\"stage\":\"colocated\",%s,\"busy\":%s,\"sequence\":%u,"
	    "\"waiting\":%d,\"running\":%d,\"kvUsed\":0,\"kvTotal\":1640000,"
	    "\"handles\":0,\"pace\":1.0}",
	    weights, e->loading != 0 ? "true" : "false", e->sequence,
	    e->waiting, e->running);
	st_answer(
	    fd, 200, "Content-Type: application/json\r\n", body, strlen(body));
}

static void
answer_staging(struct st_engine *e, struct st_conn *c, struct st_message *m)
{
	int i = query_number(m->target, "itemCount=", ST_CHUNKS);

	if (i < 0 || i >= ST_CHUNKS)
		st_answer(c->fd, 404, "", "", 0);
	else if (strcmp(m->method, "PUT") == 0 &&
	    m->body_len == ST_CHUNK_BYTES) {
		pthread_mutex_lock(&e->lock);
		if (e->staged[i] == NULL)
			e->staged[i] = checked(malloc(ST_CHUNK_BYTES));
		memcpy(e->staged[i], m->body, ST_CHUNK_BYTES);
		e->spoilt_ms[i] = 0;
		pthread_mutex_unlock(&e->lock);
		st_answer(c->fd, 200, "", "", 0);
	} else if (e->staged[i] == NULL)
		st_answer(c->fd, 404, "", "", 0);
	else
		st_answer(c->fd, 200, "", e->staged[i], ST_CHUNK_BYTES);
}

void
st_engine_spoil(struct st_engine *e, int piece)
{
	pthread_mutex_lock(&e->lock);
	if (e->staged[piece] != NULL) {
		e->staged[piece][0] ^= 1;
		e->spoilt_ms[piece] = st_now_ms();
		st_record("%s: piece %d in its staging place turns bad", e->id,
		    piece);
	}
	pthread_mutex_unlock(&e->lock);
}

bool
st_engine_is_unsound(const struct st_engine *e)
{
	int l;

	for (l = e->from; l < e->to; l++) {
		if (e->unsound[l])
			return true;
	}
	return false;
}

/* Whether the rule counts a layer that is taken now as spoilt. */
static bool
is_spoilt(const struct st_engine *e, int64_t version, int layer)
{
	int from = layer * ST_CHUNKS / ST_LAYERS, i;
	int to = ((layer + 1) * ST_CHUNKS + ST_LAYERS - 1) / ST_LAYERS;
	uint8_t sound[ST_CHUNK_BYTES];

	for (i = from; i < to; i++) {
		make_chunk(version, i, sound);
		if (e->spoilt_ms[i] != 0) {
			if (st_now_ms() - e->spoilt_ms[i] > ST_UNNOTICED_MS)
				return true;
			continue;
		}
		if (e->staged[i] == NULL ||
		    memcmp(e->staged[i], sound, sizeof(sound)) != 0)
			return true;
	}
	return false;
}

/* Takes the layers of an order as they are staged now; those that it holds of the
 * same version stay. */
static void
take_layers(struct st_engine *e, int64_t version, int from, int to)
{
	bool overlaps = e->version == version &&
	    (from > e->from ? from : e->from) < (to < e->to ? to : e->to);
	int l;

	for (l = from; l < to; l++) {
		if (overlaps && l >= e->from && l < e->to)
			continue;
		e->unsound[l] = is_spoilt(e, version, l);
		if (e->unsound[l])
			st_record("%s takes layer %d of version %lld with a "
				  "piece that is spoilt: WHOLE",
			    e->id, l, (long long)version);
	}
	e->loading = version;
	e->loading_from = from;
	e->loading_to = to;
}

/* Carries out an order: after what is running, or at once if it preempts. */
static void *
run_order(void *arg)
{
	struct st_engine *e = arg;

	pthread_mutex_lock(&e->lock);
	while (e->running > 0 && !e->preempts)
		pthread_cond_wait(&e->changed, &e->lock);
	pthread_mutex_unlock(&e->lock);
	usleep(WARM_MS * 1000);
	pthread_mutex_lock(&e->lock);
	e->version = e->loading;
	e->from = e->loading_from;
	e->to = e->loading_to;
	e->loading = 0;
	e->preempts = false;
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
	st_record("%s holds version %lld", e->id, (long long)e->version);
	st_engine_publish(e);
	return NULL;
}

static int64_t
body_number(const struct st_message *m, const char *field, int64_t fallback)
{
	const char *at = m->body == NULL ? NULL : strstr(m->body, field);

	return at == NULL ? fallback : atoll(at + strlen(field));
}

static void
answer_order(struct st_engine *e, struct st_conn *c, struct st_message *m)
{
	int64_t version = body_number(m, "\"version\":", 0);
	int from = (int)body_number(m, "\"from\":", 0);
	int to = (int)body_number(m, "\"to\":", ST_LAYERS);
	int status = 202;

	pthread_mutex_lock(&e->lock);
	if (body_number(m, "\"precondition\":", e->sequence) != e->sequence ||
	    version <= 0 || (e->loading != 0 && e->loading != version))
		status = 409;
	else if (version == e->loading ||
	    (version == e->version && e->loading == 0 && from == e->from &&
		to == e->to))
		status = 200;
	else {
		take_layers(e, version, from, to);
		e->preempts = strstr(m->body, "\"preempt\"") != NULL;
		e->preempted += e->preempts;
		e->sequence++;
		pthread_cond_broadcast(&e->changed);
	}
	pthread_mutex_unlock(&e->lock);
	st_record("%s gets the order: %s; answers %d", e->id, m->body, status);
	if (status == 202)
		start_thread(run_order, e);
	st_answer(c->fd, status, "", "", 0);
}

/* A frozen machine's engine does nothing; bytes wait in its sockets. */
static void
stand_still(const struct st_engine *e)
{
	while (e->frozen)
		usleep(LOOK_MS * 1000);
}

/* Waits for a slot, in order. False: the request is refused (not run) or its
 * sender has left. */
static bool
take_slot(struct st_engine *e, int fd, const char *id, bool *left)
{
	unsigned int ticket;
	bool gone, noted = false;

	*left = false;
	pthread_mutex_lock(&e->lock);
	if ((is_llm(e) &&
		(e->version == 0 || e->loading != 0 || e->from != 0 ||
		    e->to != ST_LAYERS)) ||
	    e->running + e->waiting >= e->slots + e->queue) {
		pthread_mutex_unlock(&e->lock);
		return false;
	}
	ticket = e->next_ticket++;
	e->waiting++;
	if (e->running >= e->slots)
		st_record("%s: %s waits in its queue", e->id, id);
	while (!*left &&
	    (e->frozen || ticket != e->served_ticket ||
		e->running >= e->slots || e->loading != 0)) {
		pthread_mutex_unlock(&e->lock);
		usleep(LOOK_MS * 1000);
		gone = st_has_left(fd);
		if (gone && !noted)
			st_record("%s: the sender of %s has closed its channel",
			    e->id, id);
		noted = gone;
		*left = gone && !e->keeps;
		pthread_mutex_lock(&e->lock);
	}
	/* One that left before its turn still holds its place in the order. */
	while (ticket != e->served_ticket) {
		pthread_mutex_unlock(&e->lock);
		usleep(LOOK_MS * 1000);
		pthread_mutex_lock(&e->lock);
	}
	e->served_ticket++;
	e->waiting--;
	e->running += !*left;
	pthread_mutex_unlock(&e->lock);
	return !*left;
}

static void
free_slot(struct st_engine *e)
{
	pthread_mutex_lock(&e->lock);
	e->running--;
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
}

static void
refuse(const struct st_engine *e, int fd, int status, const char *id)
{
	char headers[1024];

	snprintf(headers, sizeof(headers),
	    "X-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\n",
	    id, e->id);
	st_record("%s refuses %s with %d", e->id, id, status);
	st_answer(fd, status, headers, "", 0);
}

static void
print_answer_head(struct st_engine *e, const char *id, char *out, size_t size)
{
	snprintf(out, size,
	    "X-Attempt-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\n"
	    "X-Server-Load: %d,%d,%d\r\n",
	    id, e->id, id, e->running, e->waiting, e->slots);
}

static void
run_stream(
    struct st_engine *e, struct st_conn *c, const char *id, int from, int to)
{
	char fields[1024], head[2048], event[EVENT_TEXT], chunk[2 * EVENT_TEXT];
	unsigned int preempted = e->preempted;
	int i, n;

	usleep((useconds_t)e->first_ms * 1000);
	stand_still(e);
	if (e->preempted != preempted) {
		end_session(c);
		return;
	}
	if (st_on_begun != NULL)
		st_on_begun(e, id, e->version);
	print_answer_head(e, id, fields, sizeof(fields));
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\n%sX-Weight-Versions: %lld\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    fields, (long long)e->version);
	if (!st_write(c->fd, head, strlen(head)))
		return;
	for (i = from + 1; i <= to; i++) {
		stand_still(e);
		if (st_has_left(c->fd)) {
			st_record("%s: the sender of %s has left", e->id, id);
			return;
		}
		if (e->preempted != preempted) {
			st_record("%s cuts %s off", e->id, id);
			end_session(c);
			return;
		}
		n = snprintf(
		    event, sizeof(event), "id: %d\ndata: piece %d\n\n", i, i);
		snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", n, event);
		if (!st_write(c->fd, chunk, strlen(chunk)))
			return;
		usleep((useconds_t)e->event_ms * 1000);
	}
	st_write(c->fd, "0\r\n\r\n", 5);
}

static void
run_plain(struct st_engine *e, struct st_conn *c, const char *id)
{
	char fields[1024], body[ST_TEXT + 16];

	usleep((useconds_t)e->first_ms * 1000);
	if (st_on_begun != NULL)
		st_on_begun(e, id, e->version);
	print_answer_head(e, id, fields, sizeof(fields));
	snprintf(body, sizeof(body), "answer to %s", id);
	st_answer(c->fd, 200, fields, body, strlen(body));
}

static void
answer_request(struct st_engine *e, struct st_conn *c, struct st_message *m)
{
	char id[ST_TEXT], text[ST_TEXT], tokens[ST_TEXT];
	const char *comma;
	int from;
	bool left;

	st_header(m, "X-Attempt-Id", id);
	if (strcmp(st_header(m, "X-Expect-Instance", text), e->id) != 0 ||
	    (st_header(m, "X-Expect-Version", text)[0] != '\0' &&
		atoll(text) != e->version)) {
		refuse(e, c->fd, 421, id);
		return;
	}
	e->reached_ms = st_now_ms();
	if (st_on_reached != NULL)
		st_on_reached(e, id);
	if (!take_slot(e, c->fd, id, &left)) {
		if (left)
			st_record("%s: the sender of %s left before it ran",
			    e->id, id);
		else
			refuse(e, c->fd, 503, id);
		return;
	}
	st_header(m, "X-Token-Counts", tokens);
	comma = strchr(tokens, ',');
	from = atoi(st_header(m, "Last-Event-Id", text));
	if (is_llm(e))
		run_stream(e, c, id, from, comma == NULL ? 1 : atoi(comma + 1));
	else
		run_plain(e, c, id);
	free_slot(e);
}

static void
on_engine(struct st_conn *c, struct st_message *m, void *ctx)
{
	struct st_engine *e = ctx;

	stand_still(e);
	if (strncmp(m->target, "/-/report", 9) == 0)
		answer_report(e, c->fd);
	else if (strncmp(m->target, "/-/stage-", 9) == 0)
		answer_staging(e, c, m);
	else if (strncmp(m->target, "/-/order", 8) == 0) {
		if (st_on_ordered != NULL)
			st_on_ordered(e);
		stand_still(e);
		answer_order(e, c, m);
	} else
		answer_request(e, c, m);
}

static bool
engine_open(struct st_engine *e)
{
	int i;

	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->changed, NULL);
	e->to = ST_LAYERS;
	for (i = 0; i < ST_CHUNKS && e->version > 0; i++) {
		e->staged[i] = checked(malloc(ST_CHUNK_BYTES));
		make_chunk(e->version, i, e->staged[i]);
	}
	if (!st_serve(e->address, on_engine, e))
		return false;
	st_engine_publish(e);
	return true;
}

/* ------------------------------------------------------------------ */
/* The platform as a whole                                             */
/* ------------------------------------------------------------------ */

/* The figures of an engine are those of the site sohar-weigh. */
static void
put_settings(const struct st_platform *p)
{
	char *spec = NULL;
	size_t len = 0;
	FILE *out = checked(open_memstream(&spec, &len));

	fprintf(out,
	    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
	    "\"pathPrefix\":\"/write/\",\"kind\":\"streaming\","
	    "\"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,"
	    "\"service\":\"" ST_LLM "\",\"maxAttempts\":2,"
	    "\"allowAnonymous\":false,\"sticky\":true,\"resumable\":%s,"
	    "\"gapTargetMs\":300}],",
	    p->resumable ? "true" : "false");
	fprintf(out,
	    "\"services\":[{\"name\":\"" ST_LLM "\","
	    "\"healthPath\":\"/health\",\"maxConnections\":364,"
	    "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,"
	    "\"kvCapacityTokens\":1640000,\"tokenKvBytes\":163840,"
	    "\"linkMbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\"" ST_MODEL
	    "\",\"pace\":1.0,\"loadS\":4.0,\"warmS\":0.3}],"
	    "\"sizeMb\":282000.0,\"adapterSlots\":8,\"loadsPerS\":0.0,"
	    "\"step_ms\":6.73,\"per_seq_ms\":0.0219,\"context_per_k\":0.0068,"
	    "\"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,"
	    "\"report_lag_ms\":200.0,\"loads_at_once\":8,\"delays\":[],"
	    "\"usual\":{\"prompt\":964,\"answer\":119},\"layers\":%d,"
	    "\"layer_mb\":4540.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,"
	    "\"chunks\":%d,\"chunkBytes\":%d}},",
	    ST_LAYERS, ST_CHUNKS, ST_CHUNK_BYTES);
	fprintf(out,
	    "{\"name\":\"ledger\",\"origin\":\"%s.8:8001\",\"zone\":\"z0\","
	    "\"linkMbps\":7.3,\"maxConnections\":48}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	    "\"tenants\":[{\"name\":\"" ST_TENANT "\",\"apiKeys\":[\"" ST_KEY
	    "\"],\"priority\":1}]}",
	    p->net);
	fclose(out);
	st_store_put("config", "main", spec);
	free(spec);
}

bool
st_platform_open(const struct st_platform *p)
{
	char address[ST_TEXT];
	int i;

	snprintf(address, sizeof(address), "%s.9:8007", p->net);
	if (!st_serve(address, on_store, NULL))
		return false;
	snprintf(address, sizeof(address), "%s.8:8001", p->net);
	origin = serve(address, on_origin, NULL);
	if (origin == NULL)
		return false;
	put_settings(p);
	for (i = 0; i < p->nengines; i++) {
		snprintf(p->engines[i].address, ST_TEXT, "%s.%d:8001", p->net,
		    10 + i);
		if (!engine_open(&p->engines[i]))
			return false;
	}
	return true;
}

/* ------------------------------------------------------------------ */
/* Callers                                                             */
/* ------------------------------------------------------------------ */

static void *
run_call(void *arg)
{
	struct st_call *c = arg;
	struct st_conn *conn = checked(calloc(1, sizeof(*conn)));
	struct st_message answer = { 0 };
	char request[4096];

	conn->fd = st_dial(c->gateway);
	if (conn->fd < 0) {
		free(conn);
		return NULL;
	}
	snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
	    "X-Model: " ST_MODEL "\r\nX-Token-Counts: 800,%d\r\n"
	    "X-Deadline-Ms: %d\r\nAuthorization: Bearer " ST_KEY "\r\n%s\r\n",
	    c->method, c->path, c->host, c->id, c->events, c->deadline_ms,
	    strcmp(c->method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
	c->sent_ms = st_now_ms();
	if (st_write(conn->fd, request, strlen(request)))
		c->whole = st_read(conn, &answer, true);
	c->status = answer.status;
	c->ended_ms = st_now_ms();
	st_message_free(&answer);
	close(conn->fd);
	free(conn);
	st_record("caller: %s sent at %.3f, answered %d, %s", c->id,
	    (double)c->sent_ms / 1000, c->status,
	    c->whole ? "whole" : "not whole");
	return NULL;
}

void
st_call_stream(
    struct st_call *c, const char *net, int gateway, int number, int events)
{
	snprintf(
	    c->gateway, sizeof(c->gateway), "%s.%d:8005", net, gateway + 1);
	snprintf(c->host, sizeof(c->host), "a.example");
	snprintf(c->path, sizeof(c->path), "/write/note");
	snprintf(c->id, sizeof(c->id), "%08x%08x", 0x6a0000u + (unsigned)number,
	    (unsigned)number * 2654435761u);
	c->method = "POST";
	c->events = events;
	c->deadline_ms = 6000;
}

void
st_call_start(struct st_call *c)
{
	if (pthread_create(&c->thread, NULL, run_call, c) != 0)
		abort();
}

void
st_call_wait(struct st_call *c)
{
	pthread_join(c->thread, NULL);
}

bool
st_await_ready(const char *net, int gateway, int ms)
{
	char address[ST_TEXT];
	static const char request[] =
	    "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct st_conn *conn = checked(calloc(1, sizeof(*conn)));
	int64_t until_ms = st_now_ms() + ms;
	struct st_message m = { 0 };
	bool ready = false;

	snprintf(address, sizeof(address), "%s.%d:8006", net, gateway + 1);
	while (!ready && st_now_ms() < until_ms) {
		conn->fd = st_dial(address);
		conn->have = 0;
		if (conn->fd >= 0) {
			ready = st_write(conn->fd, request, strlen(request)) &&
			    st_read(conn, &m, true) && m.status == 200;
			st_message_free(&m);
			close(conn->fd);
		}
		usleep(20000);
	}
	free(conn);
	return ready;
}
