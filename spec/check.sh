#!/usr/bin/env bash
# Checks every model in spec/ with spin. The plain model has to hold. Each line
#
#     // variant: NAME
#
# names a broken variant: compiled with -DNAME, spin has to refute it, so that a
# check which can no longer fail is noticed.
set -euo pipefail
cd "$(dirname "$0")"

readonly depth=1000000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# errors MODEL [-DNAME]: prints how many errors an exhaustive search finds.
errors() {
	local model=$1 name
	shift
	name=$(basename "$model" .pml)
	rm -rf "${work:?}/run"
	mkdir "$work/run"
	cp ./*.pml "$work/run/"
	(
		cd "$work/run"
		spin -a "$@" "$name.pml" >spin.log 2>&1 || { cat spin.log >&2; exit 1; }
		gcc -O2 -w -DSAFETY -DMEMLIM=4096 -o pan pan.c
		./pan -m$depth >pan.log 2>&1 || true
		if grep -Eq 'max search depth too small|out of memory|Search not completed' pan.log && grep -q 'errors: 0' pan.log; then
			cat pan.log >&2
			exit 1
		fi
		grep -Eo 'errors: [0-9]+' pan.log | grep -Eo '[0-9]+' || { cat pan.log >&2; exit 1; }
		grep -E 'states, stored' pan.log | sed 's/^ */  /' >&2
	)
}

failed=0
for model in *.pml; do
	[ -e "$model" ] || break
	found=$(errors "$model")
	if [ "$found" = 0 ]; then
		echo "$model: holds"
	else
		echo "$model: VIOLATED"
		failed=1
	fi
	for variant in $(sed -n 's|^// variant: *||p' "$model"); do
		found=$(errors "$model" "-D$variant")
		if [ "$found" = 0 ]; then
			echo "$model: variant $variant was NOT refuted"
			failed=1
		else
			echo "$model: variant $variant refuted, as it has to be"
		fi
	done
done
exit $failed
