#!/bin/bash
# Runs the whole test suite, except the tests that KNOWN-RED.txt names, and prints one closing line with its counts.
set -uo pipefail
known_red_file="KNOWN-RED.txt"
arguments=()
if [ -f "$known_red_file" ]; then
    cat "$known_red_file"
    titles="$(sed -n 's/^test: //p' "$known_red_file" | sed 's/[][\\.*^$(){}?+|\/]/\\&/g' | paste -sd '|')"
    if [ -n "$titles" ]; then
        arguments=(--invert --grep "^(${titles})\$")
    fi
fi
report="$(mktemp)"
npm test -- "${arguments[@]}" 2>&1 | tee "$report"
status=${PIPESTATUS[0]}
passed=$(grep -oE '[0-9]+ passing' "$report" | tail -1 | grep -oE '[0-9]+' || echo 0)
failed=$(grep -oE '[0-9]+ failing' "$report" | tail -1 | grep -oE '[0-9]+' || echo 0)
rm -f "$report"
echo "${passed:-0} passed, ${failed:-0} failed"
exit "$status"
