#!/usr/bin/env bash
# Builds the scripts of the third review, with their stand-ins, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
for case in review/1[1-5]/case.ts; do
	[ -e "$case" ] || continue
	name=$(basename "$(dirname "$case")")
	node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
		--log-level=warning --outfile="target/review-3/$name.mjs"
done
