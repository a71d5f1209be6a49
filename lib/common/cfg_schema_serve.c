/* Settings: schema of the settings file of a `gateway` or `keeper` process. */

#include "common/cfg_schema.h"

#define HOUR_MS 3600000

#define TEXT_RULE(p, must, what)                                             \
	{                                                                    \
		.path = (p), .type = CFG_STRING, .required = must, .min = 1, \
		.max = NAME_MAX_BYTES, .about = (what)                       \
	}
#define ADDRESS_RULE(p, what)                                         \
	{                                                             \
		.path = (p), .type = CFG_STRING, .form = CFG_ADDRESS, \
		.about = (what)                                       \
	}
#define MAP_RULE(p, must, what)                                 \
	{                                                       \
		.path = (p), .type = CFG_MAP, .required = must, \
		.about = (what)                                 \
	}
#define INT_RULE(p, low, high, value, of, what)                            \
	{                                                                  \
		.path = (p), .type = CFG_INT, .min = (low), .max = (high), \
		.fallback = (value), .unit = (of), .about = (what)         \
	}
#define NUMBER_RULE(p, value, of, what)                               \
	{                                                             \
		.path = (p), .type = CFG_STRING, .form = CFG_DECIMAL, \
		.fallback = (value), .unit = (of), .about = (what)    \
	}

static const struct cfg_rule rules[] = {
	MAP_RULE("node", true, "Identity of this process."),
	TEXT_RULE("node.id", true, "Name of this process in log lines."),
	TEXT_RULE("node.domain", true, "Failure domain of the host."),
	TEXT_RULE("node.region", true, "Region of the failure domain."),
	{ .path = "node.key",
	    .type = CFG_STRING,
	    .required = true,
	    .min = 32,
	    .max = 128,
	    .form = CFG_HEX,
	    .about =
		"Shared key with which the system's processes authenticate each other." },
	MAP_RULE("listen", true, "Addresses of this process."),
	ADDRESS_RULE(
	    "listen.callers", "Address at which callers reach a gateway."),
	ADDRESS_RULE("listen.ready",
	    "Address at which a load balancer polls a gateway's readiness."),
	ADDRESS_RULE("listen.metrics",
	    "Address of the metrics (counters and histograms as text), at the path /metrics."),
	ADDRESS_RULE("listen.peers",
	    "Address at which the other processes of the system reach this one by TCP and UDP; the port is the same on all hosts."),
	MAP_RULE("store", false, "The deployment's object store."),
	ADDRESS_RULE("store.address", "Address of the object store."),
	MAP_RULE("engine", false, "The engine on the keeper's host."),
	ADDRESS_RULE("engine.address", "Address of the engine."),
	MAP_RULE("domains", false, "Region of each failure domain."),
	TEXT_RULE("domains.*", false, "Region of this failure domain."),
	MAP_RULE("limits", false,
	    "Resources of the host that this process may use."),
	INT_RULE("limits.descriptors", 64, 1048576, "1024", "",
	    "Open files and sockets."),
	INT_RULE("limits.memory_mb", 16, 1048576, "256", "MB",
	    "Memory limit above which the process is terminated."),
	{ .path = "limits.link_mbit",
	    .type = CFG_STRING,
	    .form = CFG_POSITIVE,
	    .fallback = "1000",
	    .unit = "Mbit/s",
	    .about = "Bandwidth of the host's link, in each direction." },
	{ .path = "limits.cpu_share",
	    .type = CFG_STRING,
	    .form = CFG_POSITIVE,
	    .fallback = "1",
	    .unit = "cores",
	    .about =
		"CPU time that the process gets; below one core it may be stopped for the rest of each period of 100 ms." },
	MAP_RULE("bounds", false, "Bounds that the deployment guarantees."),
	INT_RULE("bounds.config_ms", 1000, HOUR_MS, "2000", "ms",
	    "Time within which changed settings of the operators must be in force, also when an answer of the store was lost."),
	INT_RULE("bounds.drain_ms", 0, HOUR_MS, "2000", "ms",
	    "Time after which a leaving target receives no more requests."),
	NUMBER_RULE("bounds.grace_s", "8", "s",
	    "Time from the request to stop until the process must have exited."),
	INT_RULE("bounds.stable_ms", 1000, HOUR_MS, "3000", "ms",
	    "Time after the start of a process, and after its connections stalled, during which the other bounds do not apply to it."),
	INT_RULE("bounds.version_ms", 0, HOUR_MS, "0", "ms",
	    "Time from the announcement of a version until no request starts on an older one; 0: no bound."),
	NUMBER_RULE("bounds.retry_ratio", "0.1", "",
	    "Retries as a fraction of the requests in the window, over all gateways."),
	NUMBER_RULE("bounds.retry_slack", "10", "",
	    "Retries allowed in addition to the ratio, over all gateways."),
	NUMBER_RULE("bounds.retry_window_s", "10", "s",
	    "Time window of the retry budget."),
	MAP_RULE("policy", false, "How requests are assigned to targets."),
	NUMBER_RULE("policy.beyond_slots", "1", "requests",
	    "Requests that a target queues beyond its slots, so that a freed slot is used at once."),
	NUMBER_RULE("policy.far_cost", "6", "requests",
	    "Difference in load by which a target in a remote region must be below one in the local region to be selected."),
	INT_RULE("policy.read_ms", 0, HOUR_MS, "100", "ms",
	    "Time that an engine may still need for its assigned prompts when another one is sent; 0: no limit."),
	INT_RULE("policy.gateways", 1, 10000, "5", "",
	    "Assumed number of gateways that share the targets, until the actual number is received. Without model engines, the number that share the slack of the retry budget."),
	INT_RULE("policy.origin_copies", 1, 100, "1", "",
	    "Copies of a version that all keepers together read from the origin."),
};

const struct cfg_schema cfg_serve_schema = {
	.rules = rules,
	.nrules = G_N_ELEMENTS(rules),
};
