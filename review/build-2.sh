#!/usr/bin/env bash
# The stand-ins of review/lib-2 need no build: they are plain modules without dependencies. This checks that each of them
# and of the cases can be loaded by Node.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {7,8,9,10}/*.mjs; do
  node --check "$file"
done
