#!/bin/sh
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/almondpost-entry target/review-standin; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build.sh" >&2
		exit 2
	fi
done
exec target/review-standin -case early-answer -record review/1/record.txt
