#!/usr/bin/env bash
# Plays case 6 and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves the kill of the agent's process out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
if [ ! -x target/review-standin-2 ] || [ ! -x target/knapweedpier-node ]; then
  echo "build first: the build of deploy/system.toml, then bash review/build-2.sh" >&2
  exit 2
fi
exec target/review-standin-2 idle-timeout "$here/record.txt"
