#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start. The build of the deploy file
# comes first: it builds target/almondpost-entry.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-standin3 ./review/standin3
