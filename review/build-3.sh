#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/rig-3/build.mjs
