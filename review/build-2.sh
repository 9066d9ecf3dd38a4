#!/bin/sh
# Builds the stand-ins of the scripts of the second review.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/standin2
