#!/bin/bash
# Fails where a name of the platform's wire stands outside platform/, its tests and deploy/.
set -uo pipefail
cd "$(dirname "$0")/.."
words='basilwing-(prefix-hash|token-usage|deadline-ms|response-seal|expect-instance|expect-version|cache-salt|not-executed|request-priority|kv-fetch|kv-save|instance-load|weight-versions)'
words="$words"'|cloud_api|version-put|fencing_token|seq_no|kv_total|kv_capacity_tokens|path_prefix|api_keys|traffic_split|switch_mode|node_name|port_range|target_latency_ms|max_attempts|BASILWING_SETTINGS'
if git grep -nE "$words" -- src tests scripts examples ':!scripts/checkPlatformWords.sh' ':!tests/platform' ':!src/protocol/generated'; then
    echo "platform words outside platform/"
    exit 1
fi
echo "platform words: none outside platform/"
