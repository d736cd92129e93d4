#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -s target/bin/knapweed_serve.js ] || exit 2
exec node review/4/case.mjs
