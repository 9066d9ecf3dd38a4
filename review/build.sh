#!/bin/sh
# Builds the stand-ins of the scripts. The entry VMs are built by the deploy file.
set -e
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review-standin .
