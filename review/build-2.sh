#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-two ./review/two
