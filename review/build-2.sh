#!/usr/bin/env bash
# Bundles each case of the second review, with the stand-ins that it runs, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
shim="import {createRequire as __createRequire} from 'node:module'; const require = __createRequire(import.meta.url);"
for number in 6 7 8 9 10; do
	source="review/$number/case.ts"
	[ -f "$source" ] || continue
	node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
		--banner:js="$shim" --log-level=warning --outfile="target/review-2/case-$number.mjs"
done
