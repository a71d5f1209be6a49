#!/bin/sh
# The entry that leads a team's rollouts is frozen in the middle of one, past
# its lease. The other takes the role over with a higher fencing number and
# finishes. Woken up, the first still believes for a moment that it leads; its
# orders must not reach an engine, here engines that do not look at the number.
# Then the new lead is killed, and the first takes over again.
set -u
BUILD=$1
. tests/system/lib.sh
small_fleet 3

leads() { # URL: whether that entry holds the role
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

# Fencing numbers in the order in which the engine got them never go down.
fences_grow() {
	curl -fs "$1/admin/log" | tr ',{}' '\n\n\n' |
	    sed -n 's/^"fence":\([0-9]*\)$/\1/p' | sort -n -c
}

eventually "one entry leads" one_leads
if leads "$entry_1"; then
	lead=$entry_1 lead_pid=$entry_pid_1 other=$entry_2 other_pid=$entry_pid_2
else
	lead=$entry_2 lead_pid=$entry_pid_2 other=$entry_1 other_pid=$entry_pid_1
fi
entries=$other,$lead # operators' commands go to the one that stays awake
publish_version v2 4194304
start_rollout v2
kill -STOP "$lead_pid"
eventually "the other takes over" leads "$other"
eventually "v2 is loaded on all engines" loaded_everywhere "$root"
publish_version v3 4194304
start_rollout v3
eventually "v3 is loaded on all engines" loaded_everywhere "$root"
# It wakes with v2 as the wanted version and sees engines without it.
kill -CONT "$lead_pid"
eventually "the woken one knows that it does not lead" sh -c \
    "curl -fs -m 3 -H 'Authorization: Bearer $root_token' '$lead/v1/status' \
    | grep -q '\"leads_here\":\[\]'"
sleep 1
check "v3 is still loaded on all engines" loaded_everywhere "$root"
for url in $(echo "$engines" | tr ',' ' '); do
	check "no stale order was taken at $url" fences_grow "$url"
done

kill -KILL "$other_pid"
eventually "the first leads again after a crash" leads "$lead"
entries=$lead
publish_version v4 2097152
start_rollout v4
eventually "v4 is loaded on all engines" loaded_everywhere "$root"
finish
