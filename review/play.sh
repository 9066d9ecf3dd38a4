#!/bin/sh
# play.sh CASE FOLDER plays a case of review/standin and writes FOLDER/record.txt. Exit status: 1
# the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/.." || exit 2
for program in target/almondpost-entry target/review-standin; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build.sh" >&2
		exit 2
	fi
done
exec target/review-standin -case "$1" -record "review/$2/record.txt"
