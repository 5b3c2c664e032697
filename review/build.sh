#!/usr/bin/env bash
# The stand-ins and the cases are plain JavaScript and need no build; this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
