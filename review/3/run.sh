#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/bluebelldrift-entry target/review/standin; do
  [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
exec target/review/standin deadly review/3/record.txt
