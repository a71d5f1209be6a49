#ifndef WEIGHTS_PROTO_H
#define WEIGHTS_PROTO_H

/*
 * Messages between the hosts of a rollout, types 40-59. A connection serves one
 * version: the first message in both directions is `join`. The sender sends
 * `have` once it has the chunk list.
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

/* The chunk list, in place of a chunk's index. */
#define PROTO_LIST UINT32_MAX
#define PROTO_SLICE_MAX (256u << 10)
#define PROTO_DOMAIN_MAX 64

struct proto_join {
	struct digest root;
	struct slice domain; /* the sender's failure domain */
};

/* The sender has the chunk list and these chunks. */
struct proto_have {
	struct slice bits; /* chunk i is bit i % 8 of byte i / 8 */
	uint64_t load;
	struct slice known; /* as `bits`: chunks that some host has or reads */
};

/* Changes since the last message, batched to limit the control traffic. */
struct proto_update {
	struct slice gained; /* indices */
	/* Pairs of an index and one byte, the rank of the reader. */
	struct slice claims;
	uint64_t load; /* uploads open at the sender */
};

struct proto_get {
	uint64_t index;
	uint64_t have; /* chunks that the requester has */
};

struct proto_data {
	uint64_t index;
	uint64_t offset;
	uint64_t load;
	struct slice bytes;
};

struct proto_none {
	uint64_t index;
	/* 1: the sender has the chunk but too many open uploads. */
	uint64_t busy;
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

/* Encodes an index in as few bytes as possible: most of the control traffic
 * consists of indices. */
void proto_add_index(GByteArray *out, uint32_t index);
/* Removes an index from the front of `in`. False if there is none. */
bool proto_next_index(struct slice *in, uint32_t *out);

#endif
