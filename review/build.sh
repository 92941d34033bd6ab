#!/bin/bash
# Prepares the stand-ins of the scripts. They are plain modules that need Node.js alone, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/run.mjs; do
    node --check "$file"
done
[ -f target/entry.js ] && [ -f target/control.js ] || { echo "the build of the deploy file is missing"; exit 1; }
