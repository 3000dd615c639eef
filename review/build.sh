#!/bin/sh
# Builds the stand-in that the scripts of the cases start, into target/.
set -eu
cd "$(dirname "$0")/.."
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
{
	printf '{"Replace": {'
	separator=''
	for file in review/standin/*.go.txt; do
		printf '%s"%s": "%s"' "$separator" "$PWD/${file%.txt}" "$PWD/$file"
		separator=', '
	done
	printf '}}\n'
} >"$overlay"
mkdir -p target
go build -overlay "$overlay" -o target/review-standin ./review/standin
