#!/bin/sh
# The entry that leads a workspace's rollouts is stopped during one, for longer
# than its lease. The other entry takes the role over with a higher fencing
# number and finishes the rollout. When the first is resumed, its local state
# still names it as leader for a moment; its orders must not reach an engine
# (these engines do not check the number). Then the new leader is killed, and
# the first takes over again.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

leads() { # URL: whether that entry holds the leader role
	curl -fs -m 3 -H "Authorization: Bearer $root_token" \
	    "$1/v1/status" | grep -q '"leads_here":\["cedar"\]'
}

one_leads() {
	leads "$entry_1" || leads "$entry_2"
}

loaded_everywhere() { # DIGEST
	for url in $(echo "$engines" | tr ',' ' '); do
		curl -fs "$url/v1/load" | grep -q "$1" || return 1
	done
}

# The fencing numbers that the engine received never decrease.
fences_grow() {
	curl -fs "$1/admin/log" | tr ',{}' '\n\n\n' |
	    sed -n 's/^"fence":\([0-9]*\)$/\1/p' | sort -n -c
}

eventually "one entry leads" one_leads
if leads "$entry_1"; then
	leader=$entry_1 leader_pid=$entry_pid_1 other=$entry_2 other_pid=$entry_pid_2
else
	leader=$entry_2 leader_pid=$entry_pid_2 other=$entry_1 other_pid=$entry_pid_1
fi
entries=$other,$leader # operators' commands go to the entry that keeps running
publish_version v2 4194304
start_rollout v2
kill -STOP "$leader_pid"
eventually "the other takes over" leads "$other"
eventually "v2 is loaded on all engines" loaded_everywhere "$root"
publish_version v3 4194304
start_rollout v3
eventually "v3 is loaded on all engines" loaded_everywhere "$root"
# The resumed leader has v2 as desired version and sees engines without it.
kill -CONT "$leader_pid"
eventually "the resumed entry knows that it does not lead" sh -c \
    "curl -fs -m 3 -H 'Authorization: Bearer $root_token' '$leader/v1/status' \
    | grep -q '\"leads_here\":\[\]'"
sleep 1
check "v3 is still loaded on all engines" loaded_everywhere "$root"
for url in $(echo "$engines" | tr ',' ' '); do
	check "no stale order was accepted at $url" fences_grow "$url"
done

kill -KILL "$other_pid"
eventually "the first leads again after a crash" leads "$leader"
entries=$leader
publish_version v4 2097152
start_rollout v4
eventually "v4 is loaded on all engines" loaded_everywhere "$root"
finish
