#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
(cd review/standin && go build -o ../../target/review/standin .)
