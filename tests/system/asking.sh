#!/bin/sh
# The origin is down when a rollout begins, so no host gets whole. The lead
# asks the sides how far they are. Each answer wakes the lead; when a woken
# lead asked again at once, two hosts were enough to keep it and its link busy
# without a pause (8.6 MB/s and a core with 5 sides, `make capacity`).
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

entries_sent() { # bytes to all peers, of both entries
	echo $(($(counter "$entry_1" conn_sent_bytes) + \
	    $(counter "$entry_2" conn_sent_bytes)))
}

has_asked() {
	[ $(($(entries_sent) - before)) -gt 1000 ]
}

# Each side is asked once and then tells by itself; what is left are the
# entries' own words, about 0.1 KB/s. Ten times that is let through, whatever
# time the window really took.
asks_with_pauses() {
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
eventually "the lead asks" has_asked
check "the lead asks with pauses" asks_with_pauses
curl -fs -o /dev/null -d '{"down":false}' "$origin/admin/faults"
eventually "v2 is loaded everywhere" operate rollout status cedar/care
finish
