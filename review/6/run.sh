#!/usr/bin/env bash
# A burst of submissions whose steps need advice; a queue stops for good.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 there is no disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
for program in target/parsleybarrow target/review/rig-2; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh"; exit 2; }
done
exec target/review/rig-2 advice target/parsleybarrow "review/6/record.txt"
