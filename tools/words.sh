#!/bin/sh
# Checks that the platform's header, path and key names occur only in platform/
# (and in the deploy files that it reads), so that a name that changes is
# changed in one place.
set -eu
cd "$(dirname "$0")/.."
words='X-Attempt-Id|X-Response-Seal|X-Tenant|X-Expect-Instance|X-Expect-Version|X-Request-Urgency|X-Server-Load|Server-Limit|Server-Leaving|Store-Era|X-Not-Executed|X-Instance-Id|X-Token-Counts|X-Prompt-Prefix|X-Length-Hint|X-Weight-Versions|"/-/|pathPrefix|trafficSplit|maxAttempts|targetLatencyMs|allowAnonymous|apiKeys|itemCount|switchMode|chunkBytes|stage-put|kvUsed'
found=$(git grep -nE "$words" -- lib programs bench '*.h' ':!platform' || true)
[ -z "$found" ] && exit 0
echo "words of the platform outside platform/:"
echo "$found"
exit 1
