/* For cppcheck only, which reads no system headers: defines the heads and loops
 * of sys/queue.h, so that it can follow the loop variable. */
#define TAILQ_HEAD(name, type)          \
	struct name {                   \
		struct type *tqh_first; \
		struct type **tqh_last; \
	}
#define TAILQ_ENTRY(type)               \
	struct {                        \
		struct type *tqe_next;  \
		struct type **tqe_prev; \
	}
#define TAILQ_FIRST(head) ((head)->tqh_first)
#define TAILQ_NEXT(var, field) ((var)->field.tqe_next)
#define TAILQ_FOREACH(var, head, field) \
	for ((var) = (head)->tqh_first; (var); (var) = (var)->field.tqe_next)
#define LIST_HEAD(name, type)          \
	struct name {                  \
		struct type *lh_first; \
	}
#define LIST_ENTRY(type)               \
	struct {                       \
		struct type *le_next;  \
		struct type **le_prev; \
	}
#define LIST_FIRST(head) ((head)->lh_first)
#define LIST_FOREACH(var, head, field) \
	for ((var) = (head)->lh_first; (var); (var) = (var)->field.le_next)
#define G_GNUC_PRINTF(format, args)
#define POPT_AUTOHELP
#define POPT_TABLEEND \
	{             \
		0     \
	}
#define STAILQ_HEAD(name, type)          \
	struct name {                    \
		struct type *stqh_first; \
		struct type **stqh_last; \
	}
#define STAILQ_ENTRY(type)              \
	struct {                        \
		struct type *stqe_next; \
	}
#define STAILQ_FIRST(head) ((head)->stqh_first)
#define STAILQ_NEXT(var, field) ((var)->field.stqe_next)
#define STAILQ_FOREACH(var, head, field) \
	for ((var) = (head)->stqh_first; (var); (var) = (var)->field.stqe_next)
