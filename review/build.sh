#!/bin/sh
# The stand-ins under review/rig are plain modules of Node.js, which need no build. Checks that they can be loaded.
set -e
cd "$(dirname "$0")/rig"
for module in *.mjs; do
	node --check "$module"
done
