#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/main.cjs ] && [ -f target/review-2/case-6.mjs ] || exit 2
exec node target/review-2/case-6.mjs
