/* Settings: the file of a gateway or keeper process. */

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
	MAP_RULE("node", true, "Who this process is."),
	TEXT_RULE("node.id", true, "Name of this process in log lines."),
	TEXT_RULE("node.domain", true, "Failure domain that the host is in."),
	TEXT_RULE("node.region", true, "Region that the failure domain is in."),
	{ .path = "node.key",
	    .type = CFG_STRING,
	    .required = true,
	    .min = 32,
	    .max = 128,
	    .form = CFG_HEX,
	    .about = "Key that the system's processes prove to each other." },
	MAP_RULE("listen", true, "Addresses of this process."),
	ADDRESS_RULE("listen.callers", "Where callers reach a gateway."),
	ADDRESS_RULE("listen.ready",
	    "Where a balancer asks whether a gateway is ready."),
	ADDRESS_RULE("listen.metrics",
	    "Counters and histograms as text, at the path /metrics."),
	ADDRESS_RULE("listen.peers",
	    "Where other processes of the system reach this one, by TCP and UDP; the port is the same on all hosts."),
	MAP_RULE("store", false, "The deployment's object store."),
	ADDRESS_RULE("store.address", "Where it answers."),
	MAP_RULE("engine", false, "The engine beside a keeper."),
	ADDRESS_RULE("engine.address", "Where it answers."),
	MAP_RULE("domains", false, "Region of each failure domain."),
	TEXT_RULE("domains.*", false, "Its region."),
	MAP_RULE("limits", false, "What the host gives this process."),
	INT_RULE("limits.descriptors", 64, 1048576, "1024", "",
	    "Open files and sockets."),
	INT_RULE("limits.memory_mb", 16, 1048576, "256", "MB",
	    "Memory beyond which the process is ended."),
	NUMBER_RULE("limits.link_mbit", "1000", "Mbit/s",
	    "The host's own link, each way."),
	MAP_RULE("bounds", false, "What the deployment promises."),
	INT_RULE("bounds.drain_ms", 0, HOUR_MS, "2000", "ms",
	    "A leaving target gets no request after this."),
	NUMBER_RULE("bounds.grace_s", "8", "s",
	    "From the request to stop to the end of the process."),
	INT_RULE("bounds.stable_ms", 1000, HOUR_MS, "3000", "ms",
	    "After its start, and after connections fell silent, a process has so long before the other bounds hold for it."),
	INT_RULE("bounds.version_ms", 0, HOUR_MS, "0", "ms",
	    "From naming new weights to no request beginning on older ones; 0: no bound."),
	NUMBER_RULE("bounds.retry_ratio", "0.1", "",
	    "Requests sent again, of those of the window, over all gateways."),
	NUMBER_RULE("bounds.retry_slack", "10", "",
	    "Requests sent again beyond the ratio, over all gateways."),
	NUMBER_RULE(
	    "bounds.retry_window_s", "10", "s", "Window of the retry budget."),
	MAP_RULE("policy", false, "How targets are filled."),
	NUMBER_RULE("policy.beyond_slots", "1", "requests",
	    "Requests that a target holds beyond its slots, so that a free slot is taken at once."),
	NUMBER_RULE("policy.far_cost", "6", "requests",
	    "Load by which a target in another region must be below one in this region to be chosen."),
	INT_RULE("policy.read_ms", 0, HOUR_MS, "100", "ms",
	    "Time that an engine may need for the prompts that it has before another is sent; 0: no limit."),
	INT_RULE("policy.gateways", 1, 10000, "5", "",
	    "Gateways that share the targets, until their number is heard."),
	INT_RULE("policy.origin_copies", 1, 100, "1", "",
	    "Copies of a version that the keepers read from the origin, in all."),
};

const struct cfg_schema cfg_serve_schema = {
	.rules = rules,
	.nrules = G_N_ELEMENTS(rules),
};
