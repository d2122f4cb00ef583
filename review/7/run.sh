#!/usr/bin/env bash
# Ends with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/jayforkd target/review-2/standin; do
  [ -x "$program" ] || { echo "not run: $program is missing"; exit 2; }
done
exec target/review-2/standin route review/7/record.txt
