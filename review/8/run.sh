#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lynxgated ] && [ -x target/review-two ] || { echo "build target/lynxgated and run review/build-2.sh first" >&2; exit 2; }
exec target/review-two 8 review/8/record.txt
