#!/usr/bin/env bash
# Plays the case "drain". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/cactuswalld target/review-harness; do
  [ -x "$program" ] || { echo "$program is missing: build the deploy file, then review/build.sh"; exit 2; }
done
exec target/review-harness drain "$here"
