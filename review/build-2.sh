#!/usr/bin/env bash
# The stand-ins in review/lib-2 need no build: they are plain modules for Node without dependencies. This checks that the
# programs of the deploy file are there, and that Node can read each stand-in and each case.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/figjunction-platform.mjs
for program in review/lib-2/* review/{7,8,9,10}/case; do
  node --check --experimental-default-type=module "$program"
done
