#!/usr/bin/env bash
# Checks every model in spec/ with spin. The model itself has to hold. Each line
#
#     // variant: NAME
#
# names a faulty variant: compiled with -DNAME, spin has to refute it. This detects a
# check that can no longer fail.
set -euo pipefail
cd "$(dirname "$0")"

readonly depth=1000000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search MODEL VARIANT: searches one model exhaustively, prints the result and fails if it
# is not the expected one. VARIANT is "-" for the model itself.
search() {
	local model=$1 variant=$2 name=${1%.pml} dir=$work/$1.$2 found stored
	local define=()
	[ "$variant" = - ] || define=("-D$variant")
	mkdir "$dir"
	cp ./*.pml "$dir/"
	cd "$dir"
	spin -a "${define[@]}" "$name.pml" >spin.log 2>&1 || { cat spin.log; return 1; }
	gcc -O1 -w -DSAFETY -DMEMLIM=4096 -o pan pan.c || return 1
	./pan -m$depth >pan.log 2>&1 || true
	if grep -Eq 'max search depth too small|out of memory|Search not completed' pan.log && grep -q 'errors: 0' pan.log; then
		cat pan.log
		return 1
	fi
	found=$(grep -Eo 'errors: [0-9]+' pan.log | grep -Eo '[0-9]+') || { cat pan.log; return 1; }
	stored=$(grep -Eo '[0-9]+ states, stored' pan.log)
	case $variant:$found in
	-:0) echo "$model: holds ($stored)" ;;
	-:*) echo "$model: VIOLATED"; return 1 ;;
	*:0) echo "$model: variant $variant was NOT refuted"; return 1 ;;
	*) echo "$model: variant $variant refuted, as expected ($stored)" ;;
	esac
}
export -f search
export work depth

# The searches are independent; each uses one core and little memory.
for model in *.pml; do
	echo "$model -"
	sed -n "s|^// variant: *|$model |p" "$model"
done | xargs -P "$(nproc)" -L 1 bash -c 'search "$0" "$1"'
