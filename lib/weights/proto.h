#ifndef WEIGHTS_PROTO_H
#define WEIGHTS_PROTO_H

/*
 * Messages between the hosts of a rollout, types 40-59. A connection belongs
 * to one version: its first message, from both ends, is `join`. `have`
 * follows once the sender has the chunk list.
 */

#include "common/common.h"

#define PROTO_FIRST 40
#define PROTO_LAST 59

#define PROTO_JOIN 40
#define PROTO_HAVE 41
#define PROTO_UPDATE 42
#define PROTO_GET 43
#define PROTO_DATA 44
#define PROTO_NONE 45
#define PROTO_BYE 46

/* In place of a chunk's index: the chunk list. */
#define PROTO_LIST UINT32_MAX
#define PROTO_SLICE_MAX (256u << 10)
#define PROTO_DOMAIN_MAX 64

struct proto_join {
	struct digest root;
	struct slice domain; /* the sender's failure domain */
};

/* The sender has the list and these chunks. */
struct proto_have {
	struct slice bits; /* chunk i is bit i % 8 of byte i / 8 */
	uint64_t load;
	struct slice known; /* as `bits`: chunks that some host has or reads */
};

/* What changed since: batched, so that control bytes stay few. */
struct proto_update {
	struct slice gained; /* indices */
	struct slice claims; /* an index and a byte: the reader's rank */
	uint64_t load; /* uploads open at the sender */
};

struct proto_get {
	uint64_t index;
	uint64_t have; /* chunks that the asker has */
};

struct proto_data {
	uint64_t index;
	uint64_t offset;
	uint64_t load;
	struct slice bytes;
};

struct proto_none {
	uint64_t index;
	uint64_t busy; /* 1: it has the chunk, but enough to do */
	uint64_t load;
};

struct proto_bye {
	uint64_t reserved;
};

extern const struct msg_desc proto_join_desc;
extern const struct msg_desc proto_have_desc;
extern const struct msg_desc proto_update_desc;
extern const struct msg_desc proto_get_desc;
extern const struct msg_desc proto_data_desc;
extern const struct msg_desc proto_none_desc;
extern const struct msg_desc proto_bye_desc;

/* Indices take as few bytes as they need: most of what a host says is them. */
void proto_add_index(GByteArray *out, uint32_t index);
/* Takes one off the front of `in`; false when there is none (left). */
bool proto_next_index(struct slice *in, uint32_t *out);

#endif
