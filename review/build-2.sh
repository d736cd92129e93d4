#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the serving program. The stand-ins are plain modules, which
# need no build; they are checked for syntax errors, so that a run does not fail halfway.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
    node --check "$file"
done
[ -f ../target/bin/knapweed_serve.js ] || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
