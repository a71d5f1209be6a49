#!/bin/sh
# Guards against a polling loop between the rollout leader and the sidecars. The
# origin is down when a rollout begins, so no host completes the transfer, and
# the leader polls the sidecars for their progress. Each answer wakes the
# leader; when it polled again at once, two hosts were enough to keep it and its
# link busy without a pause (8.6 MB/s and a core with 5 sidecars, `make
# capacity`).
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

entries_sent() { # bytes sent to all peers by both entries
	echo $(($(counter "$entry_1" conn_sent_bytes) + \
	    $(counter "$entry_2" conn_sent_bytes)))
}

has_polled() {
	[ $(($(entries_sent) - before)) -gt 1000 ]
}

# Each sidecar is polled once and then reports by itself; the remaining traffic
# is between the entries, about 0.1 KB/s. Ten times that is allowed, over the
# measured length of the window.
polls_with_pauses() {
	before=$(entries_sent)
	from=$(date +%s%3N)
	sleep 2
	sent=$(($(entries_sent) - before))
	took=$(($(date +%s%3N) - from))
	echo "sent $sent bytes in $took ms"
	[ "$sent" -le "$took" ]
}

publish_version v2 4194304
curl -fs -o /dev/null -d '{"down":true}' "$origin/admin/faults"
before=$(entries_sent)
start_rollout v2
eventually "the leader polls the sidecars" has_polled
check "the leader polls with pauses" polls_with_pauses
curl -fs -o /dev/null -d '{"down":false}' "$origin/admin/faults"
eventually "v2 is loaded everywhere" operate rollout status cedar/care
finish
