#!/bin/sh
# Prints the tables of docs/CAPACITY.md from the points and fits of
# bench/capacity.sh. `sh bench/capacity_tables.sh POINTS`. Every cell that was
# not measured at its size is computed from a fit; the last column gives the
# formula.
set -u
points=$1

awk '
# ---------------------------------------------------------------------
# Fleet sizes
# ---------------------------------------------------------------------
BEGIN {
	# Index 1 is today, 2 is in two years: gateways (E), sidecars (S),
	# requests (R) and tokens (T) per second, workspaces. The workspaces are
	# assumed; the load of today is the peak load in two years scaled by the
	# number of engines.
	E[1] = 4; S[1] = 15; R[1] = 52; T[1] = 18400; TEAMS[1] = 3
	E[2] = 320; S[2] = 1000; R[2] = 2600; T[2] = 920000; TEAMS[2] = 10
	ENGINES[1] = 12; ENGINES[2] = 600
	BETWEEN = 0.067
}

$1 == "fit" {
	split("", f)
	for (i = 3; i <= NF; i++) {
		split($i, kv, "=")
		f[kv[1]] = kv[2]
	}
	part = substr($2, 6)
	k = part "/" f["on"] "/" f["of"]
	A[k] = f["a"]; B[k] = f["b"]; Q[k] = f["r2"]
	IDLE[k] = f["idle_ms_s"]; REQ[k] = f["request_us"]
	TOK[k] = f["token_us"]
}

$1 == "point" {
	split("", f)
	for (i = 3; i <= NF; i++) {
		split($i, kv, "=")
		f[kv[1]] = kv[2]
	}
	if ($2 == "part=keyed") {
		keyed_writes = f["api_writes_s"]; keyed_rate = f["rate"]
	}
	if ($2 == "part=load" && f["tokens"] > 90) {
		# Both gateways; includes the traffic of idle gateways (small).
		token_bytes = f["entry_bytes_s"] * f["seconds"] / f["tokens_sent"]
	}
	if ($2 == "part=weights")
		ratio = f["time_ratio"]
}

# Value of a fit at X; a negative slope counts as zero, as no cost decreases
# with size.
function at(k, x) {
	return A[k] + (B[k] > 0 ? B[k] : 0) * x
}
function slope(k) {
	return B[k] > 0 ? B[k] : 0
}
function cell(v) {
	return v >= 100 ? sprintf("%.0f", v) : sprintf("%.2f", v)
}
function row(what, budget, v1, v2, formula) {
	printf "| %s | %s | %s | %s | %s |\n", what, budget, cell(v1),
	    cell(v2), formula
}
# Combines the fit over sidecars, measured with 4 gateways, and the slope over
# gateways, measured with 10 sidecars.
function both(y, i) {
	return at("sides/sides/" y, S[i]) + slope("entries/entries/" y) * (E[i] - 4)
}
# Bytes of the request limit reports, per workspace: one report to and one from
# each other gateway every lim_report_ms = 500 * ceil(E / 16). With up to 16
# gateways this is two reports per second each way, so the size of a report is a
# quarter of the slope.
function limit_report_bytes(i) {
	return TEAMS[i] * slope("entries/entries/entry_conn_s") / 4 * \
	    (E[i] - 1) * 2 / (0.5 * int((E[i] + 15) / 16))
}

END {
	n[1] = E[1] + S[1]; n[2] = E[2] + S[2]
	for (i = 1; i <= 2; i++) {
		open[i] = (T[i] * BETWEEN + R[i] * 0.1) / E[i]
		keyed[i] = R[i] * 0.1
	}
	print "table role=entry"
	print "| figure | budget | today | two years | formula |"
	print "| --- | --- | --- | --- | --- |"
	row("membership, B/s", 4096, at("members/n/bytes_s", n[1]),
	    at("members/n/bytes_s", n[2]), "derived: members fit at n")
	row("membership, worst node, B/s", 4096,
	    at("members/n/worst_bytes_s", n[1]),
	    at("members/n/worst_bytes_s", n[2]), "derived: members fit at n")
	row("words of the limits at rest, B/s", 4096, limit_report_bytes(1),
	    limit_report_bytes(2),
	    "derived: teams x (E - 1) x 2 x word / lim_report_ms(E)")
	row("control processor at rest, % of a core", 1.5,
	    both("entry_cpu_pct", 1), both("entry_cpu_pct", 2),
	    "derived: sides fit at S + entries slope x (E - 4)")
	row("memory at rest, MB", 128, both("entry_rss_kb", 1) / 1024,
	    both("entry_rss_kb", 2) / 1024, "derived: as above")
	row("open requests", "4096", open[1], open[2],
	    "derived: (tokens/s x 0.067 s + requests/s x 0.1 s) / E")
	row("memory of open requests, MB", "-",
	    open[1] * slope("open/open/entry_rss_kb") / 1024,
	    open[2] * slope("open/open/entry_rss_kb") / 1024,
	    "derived: open x slope of part open")
	k = "load/seconds,requests,tokens/entry_cpu_ms"
	for (i = 1; i <= 2; i++)
		c[i] = (REQ[k] * R[i] + TOK[k] * T[i]) / 1e4 / E[i]
	row("processor for requests, % of a core", "-", c[1], c[2],
	    "derived: (request_us x requests/s + token_us x tokens/s) / E")
	# Each wake-up polls every connection. This shows as a slope over
	# sidecars under load, for two gateways that each carry about a fifth
	# of the tokens of a gateway in two years.
	for (i = 1; i <= 2; i++)
		p[i] = c[i] + slope("fan/sides/entry_cpu_ms_s") / 20 * \
		    (S[i] + 2 * (E[i] - 1))
	row("the same with the polling of connections", "100", p[1], p[2],
	    "derived: + fan slope / 2 entries x (S + 2 (E - 1))")
	row("processor for requests with a region lost", "100", 2 * c[1], 2 * c[2],
	    "derived: half of the entries carry all")
	row("link to the sides, KB/s", "-",
	    token_bytes * T[1] / E[1] / 1024, token_bytes * T[2] / E[2] / 1024,
	    "derived: bytes a token of the last load point x tokens/s / E")
	row("connections", "-", S[1] + 2 * (E[1] - 1), S[2] + 2 * (E[2] - 1),
	    "derived: S + 2 (E - 1)")

	print "table role=side"
	print "| figure | budget | today | two years | formula |"
	print "| --- | --- | --- | --- | --- |"
	row("membership, B/s", 4096, at("members/n/bytes_s", n[1]),
	    at("members/n/bytes_s", n[2]), "derived: members fit at n")
	row("connections at rest, B/s", 4096, both("side_conn_s", 1),
	    both("side_conn_s", 2), "derived: sides fit, entries slope")
	row("control processor at rest, % of a core", 1.5,
	    both("side_cpu_pct", 1), both("side_cpu_pct", 2),
	    "derived: sides fit at S + entries slope x (E - 4)")
	row("memory at rest, MB", 128, both("side_rss_kb", 1) / 1024,
	    both("side_rss_kb", 2) / 1024, "derived: as above")
	k = "load/seconds,requests,tokens/side_cpu_ms"
	row("processor for requests, % of a core", "-",
	    (REQ[k] * R[1] + TOK[k] * T[1]) / 1e4 / ENGINES[1],
	    (REQ[k] * R[2] + TOK[k] * T[2]) / 1e4 / ENGINES[2],
	    "derived: as at the entry, over the engines")
	row("connections from entries", "-", E[1], E[2], "derived: E")
	row("control for weights, B/s while they move", 4096,
	    at("weights/n/control_bytes_s", S[1]),
	    at("weights/n/control_bytes_s", S[2]), "derived: weights fit at S")
	row("time over the bound while weights spread", "-",
	    at("weights/n/time_ratio", S[1]),
	    at("weights/n/time_ratio", S[2]), "derived: weights fit at S")
	row("memory beside the weights, MB", 128,
	    at("weights/n/rss_control_mb", S[1]),
	    at("weights/n/rss_control_mb", S[2]), "derived: weights fit at S")

	print "table role=lead"
	print "| figure | budget | today | two years | formula |"
	print "| --- | --- | --- | --- | --- |"
	row("questions and answers while weights move, B/s", 4096,
	    at("lead/sides/lead_bytes_s", S[1]),
	    at("lead/sides/lead_bytes_s", S[2]), "derived: lead fit at S")
	row("processor, % of a core", 1.5,
	    at("lead/sides/entries_cpu_ms_s", S[1]) / 10,
	    at("lead/sides/entries_cpu_ms_s", S[2]) / 10,
	    "derived: lead fit at S (both entries)")
	row("timeline of all, MB when all logs are full", 128,
	    n[1] * 4096 * 120 / 1e6, n[2] * 4096 * 120 / 1e6,
	    "derived: n x TL_EVENTS_MAX x 120 B of JSON (assumed)")
	row("timeline of all, KB on young processes", "-",
	    at("timeline/n/bytes", n[1]) / 1024,
	    at("timeline/n/bytes", n[2]) / 1024, "derived: timeline fit at n")

	print "table role=claim-owners"
	print "| figure | budget | today | two years | formula |"
	print "| --- | --- | --- | --- | --- |"
	for (i = 1; i <= 2; i++) {
		w[i] = keyed[i] * slope("keyed/rate/api_writes_s")
		rec[i] = keyed[i] * 300 / 16
		obj[i] = rec[i] * slope("claim_objects/records/bytes") / 1024
	}
	row("keyed requests a second (10% assumed)", "-", keyed[1], keyed[2],
	    "derived: 0.1 x requests/s")
	row("writes a second without the pace", 200, w[1], w[2],
	    "derived: keyed slope x keyed requests/s; the pace holds it to 200")
	row("records a bucket", "-", rec[1], rec[2],
	    "derived: keyed/s x 300 s / 16")
	row("bucket object, KB", 900, obj[1], obj[2],
	    "derived: records x bytes of a record (claim_objects slope)")
	for (i = 1; i <= 2; i++)
		v[i] = (w[i] < 200 ? w[i] : 200) * (obj[i] < 900 ? obj[i] : 900) / 1024
	row("bytes written to the API, MB/s", "-", v[1], v[2],
	    "derived: min(writes, 200) x min(object, 900 KB)")
	row("most keyed requests a second before buckets are full", "-",
	    900 * 1024 / slope("claim_objects/records/bytes") * 16 / 300,
	    900 * 1024 / slope("claim_objects/records/bytes") * 16 / 300,
	    "derived: 900 KB / record x 16 / 300 s")

	print "table role=object-api"
	print "| figure | budget | today | two years | formula |"
	print "| --- | --- | --- | --- | --- |"
	row("reads a second, one team", 2000,
	    at("sides/sides/api_reads_s", S[1]),
	    at("sides/sides/api_reads_s", S[2]), "derived: sides fit at S")
	row("reads a second, all teams", 2000,
	    TEAMS[1] * at("sides/sides/api_reads_s", S[1]),
	    TEAMS[2] * at("sides/sides/api_reads_s", S[2]),
	    "derived: teams x the above (each has a lease; watches included)")
	row("lease writes a second", 300, TEAMS[1] * at("sides/sides/api_writes_s", S[1]),
	    TEAMS[2] * at("sides/sides/api_writes_s", S[2]), "derived: as reads")
	row("calls a second while it is down, one team", 2000,
	    at("away/n/calls_s_down", n[1]), at("away/n/calls_s_down", n[2]),
	    "derived: away fit at n")
	row("calls a second on its return, one team", 2000,
	    at("away/n/calls_s_return", n[1]),
	    at("away/n/calls_s_return", n[2]), "derived: away fit at n")
	row("reads when all entries restart at once", "-",
	    at("restart_e/entries/api_reads", E[1]),
	    at("restart_e/entries/api_reads", E[2]),
	    "derived: restart_e fit at E")
	row("reads a change of settings", "-",
	    at("change/n/api_reads", n[1]), at("change/n/api_reads", n[2]),
	    "derived: change fit at n")
	row("settings in force, s, small fleet", 14,
	    at("change/n/in_force_ms", n[1]) / 1000,
	    at("change/n/in_force_ms", n[2]) / 1000, "derived: change fit at n")
	row("bytes a node for a change", "-", at("change/n/node_bytes", n[1]),
	    at("change/n/node_bytes", n[2]), "derived: change fit at n")
}' "$points"
