#!/usr/bin/env bash
# Runs all unit, contract and process tests with lock order checks. Tests listed
# in KNOWN-RED.txt run separately first: their results are printed but do not
# fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
known_red=$(cut -d' ' -f1 KNOWN-RED.txt | grep -E '^Test[A-Za-z0-9_]+$' | paste -sd'|' - || true)
skip=()
if [ -n "$known_red" ]; then
  echo "known failures, see KNOWN-RED.txt (they do not fail the run):"
  go test -tags lockcheck -timeout 120s -run "^($known_red)\$" ./... 2>&1 |
    grep -v 'no test files\|no tests to run' | sed 's/^/  known failure: /' || true
  skip=(-skip "^($known_red)\$")
fi
go test -tags lockcheck -timeout 300s "${skip[@]}" ./... "$@"
