#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs the
# case without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/almondpost-entry ] && [ -x target/review-standin3 ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
trouble=true
[ "$TROUBLE" = 0 ] && trouble=false
exec target/review-standin3 -case late_orders -trouble=$trouble -record review/14/record.txt
