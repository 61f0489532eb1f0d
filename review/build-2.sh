#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/{6,7,8,9,10}/case.mjs; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm --target=node20 --log-level=warning \
		--banner:js="import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);" \
		--outfile="target/review-2/$number.mjs"
done
