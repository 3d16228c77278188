#!/usr/bin/env bash
# Bundles the script of each case, with the stand-ins that it starts, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
shim="import {createRequire as __createRequire} from 'node:module'; const require = __createRequire(import.meta.url);"
for source in review/*/case.ts; do
	name=$(basename "$(dirname "$source")")
	node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
		--banner:js="$shim" --log-level=warning --outfile="target/review/case-$name.mjs"
done
