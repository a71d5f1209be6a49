#ifndef CFG_SCHEMA_H
#define CFG_SCHEMA_H

/* Bounds that several settings schemas use. */

#include "common/common.h"

#define NAME_MAX_BYTES 64
#define PATH_MAX_BYTES 512
#define LIST_MAX 10000 /* names in one list */

#endif
