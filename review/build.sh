#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/. The daemon itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for folder in review/[1-9]/*/; do
	number=$(basename "$(dirname "$folder")")
	go build -tags review -o "target/review-$number-$(basename "$folder")" "./$folder"
done
