#!/usr/bin/env bash
# Builds the stand-ins and the tests of cases 4 to 6, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[456]/case.ts; do
  name=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review-2/case-$name.mjs"
done
