#!/usr/bin/env bash
# Builds what the scripts of the review start. The stand-ins are plain JavaScript and need no compiler; the serving program
# comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]*/*.mjs; do
    node --check "$file"
done
[ -s target/bin/knapweed_serve.js ] || npm run --silent bundle
