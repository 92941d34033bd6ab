#!/bin/bash
# The stand-ins of cases 6 to 10 are plain modules that need no build; this checks that they and the programs are there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs; do
    node --check "$file"
done
for program in target/entry.js target/control.js; do
    [ -f "$program" ] || { echo "$program is missing: run the build of deploy/system.toml first"; exit 1; }
done
