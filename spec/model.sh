#!/bin/sh
# Checks every spec/*.pml exhaustively, then once with each safeguard taken
# out (its lines `SWITCH NAME`): the first must hold, the others must not.
set -u
cd "$(dirname "$0")" || exit 1
here=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

verify() { # verify MODEL SWITCH COMPILER-FLAG
	(
		cd "$work" || exit 1
		rm -f pan pan.log
		spin ${2:+-D"$2"} -a "$here/$1" >spin.log 2>&1 || cat spin.log
		cc -O2 -w -DSAFETY -DCOLLAPSE $3 -o pan pan.c &&
		    ./pan -m100000 -w22 >pan.log 2>&1
		grep -E 'errors:|depth too small|violated|invalid' pan.log
	)
}

for model in *.pml; do
	out=$(verify "$model" "" "")
	states=$(grep -oE '[0-9.e+]+ states, stored' "$work/pan.log")
	case $out in
	*"too small"*) echo "model $model: not exhaustive"; failed=1 ;;
	*"errors: 0"*) echo "model $model: holds, $states" ;;
	*) echo "model $model: VIOLATED: $out"; failed=1 ;;
	esac
	for switch in $(sed -n 's/^ \* SWITCH \([A-Z_]*\).*/\1/p' "$model"); do
		# Processes in the other order: finds the violations sooner.
		out=$(verify "$model" "$switch" -DREVERSE)
		case $out in
		*"assertion violated"*)
			echo "model $model: $switch is violated, as it must be" ;;
		*)
			echo "model $model: $switch makes no difference"
			failed=1
			;;
		esac
	done
done
exit $failed
