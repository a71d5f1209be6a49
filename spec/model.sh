#!/bin/sh
# Checks the core protocol with spin: `make model`. With every safeguard on
# the search must be exhaustive and find no violation; with any one of them off
# spin must find a violated assertion. A search that reaches its limit of depth
# or memory (these bound it independently of the machine's speed) and a model
# that does not build count as failed.
set -u
cd "$(dirname "$0")"
out=../out/model
memory_mb=2000
failures=0
rm -rf "$out"
mkdir -p "$out"

# search MODEL SWITCH: sets verdict to holds, violated or a description of the
# failure.
search() {
	work=$out/$1${2:+-$2}
	mkdir -p "$work"
	cp "$1.pml" "$work/"
	verdict="does not build, see $work"
	# Breadth-first search finds a short violation early; depth-first search
	# needs less memory for an exhaustive search.
	order=${2:+-DBFS}
	(
		cd "$work" || exit 1
		# shellcheck disable=SC2086
		spin -a ${2:+-D$2=0} "$1.pml" >build.log 2>&1 &&
		    cc -O2 -w -DSAFETY $order -DVECTORSZ=1024 \
			-DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c >>build.log 2>&1
	) || return
	(
		cd "$work" || exit 1
		./pan -E -m100000 -w24 >pan.log 2>&1
		echo $? >status
	)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' \
	    "$work/pan.log")
	rule=$(sed -n 's/^pan:1: assertion violated \(.*\) (at depth.*/\1/p' \
	    "$work/pan.log")
	if grep -q 'max search depth too small' "$work/pan.log"; then
		verdict="incomplete: depth"
	elif grep -q 'errors: 1$' "$work/pan.log" && [ -n "$rule" ]; then
		verdict=violated
	elif grep -qi 'out of memory\|reached -DMEMLIM\|not completed' \
	    "$work/pan.log"; then
		verdict="incomplete: memory, or cut short"
	elif [ "$(cat "$work/status")" = 0 ] &&
	    grep -q 'errors: 0$' "$work/pan.log"; then
		verdict=holds
	else
		verdict="unclear, see $work/pan.log"
	fi
}

holds() { # MODEL
	search "$1" ""
	if [ "$verdict" = holds ]; then
		echo "model $1: holds, exhaustive, $states states"
		return
	fi
	echo "model $1: FAILED: $verdict ${rule:-}"
	failures=$((failures + 1))
}

must_break() { # MODEL safeguard|assumption SWITCH...
	model=$1
	switch_kind=$2
	shift 2
	for switch in "$@"; do
		search "$model" "$switch"
		if [ "$verdict" = violated ]; then
			echo "model $model without $switch_kind $switch:" \
			    "violates $rule, as it must"
			continue
		fi
		echo "model $model without $switch_kind $switch: FAILED: $verdict"
		failures=$((failures + 1))
	done
}

holds lease
must_break lease safeguard CONDITIONAL BEFORE_SEND MARGIN OWN_DEADLINE
holds gate
must_break gate safeguard GATE RESTORE
must_break gate assumption SPREAD
holds claim
must_break claim safeguard CLAIM_FIRST CONDITIONAL READ_BACK IN_DOUBT ENDED \
    NO_RERUN
holds settings
must_break settings safeguard ONLY_HIGHER ASK_AT_START ANTI_ENTROPY
must_break settings assumption SPREAD
echo "$failures failed"
[ "$failures" -eq 0 ]
