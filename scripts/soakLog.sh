#!/bin/bash
# Runs the properties of the replicated log and its storage with more cases, and with seeds of their own.
# Usage: scripts/soakLog.sh [FACTOR] [SEED]; the factor multiplies the cases of an ordinary run.
set -euo pipefail
export BASILWING_RUN_FACTOR="${1:-10}"
export BASILWING_SEED="${2:-1000}"
npx mocha --no-config --require tsx/cjs --timeout 3600000 "tests/control/{consensus,storage}/*.tests.ts"
