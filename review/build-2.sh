#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file: the stand-ins for the
# clients, the workers and the platform. They have no dependencies, so no network is needed.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/standin2 .
