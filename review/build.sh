#!/usr/bin/env bash
# The cases need nothing but the programs of the deploy file: their stand-ins are plain programs for Node.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/figjunction-platform.mjs
for program in review/lib/* review/[1-5]/case; do
  [ ! -f "$program" ] || node --check --experimental-default-type=module "$program"
done
