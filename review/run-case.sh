#!/bin/sh
# run-case.sh CASE FOLDER: plays one case of the stand-in and ends with its exit code:
# 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. The stand-in ends
# every process that it started.
cd "$(dirname "$0")/.." || exit 2
for program in target/knapweedpier-node target/review-standin; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
timeout -k 5 110 target/review-standin "$1" "$2" target/knapweedpier-node
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
