#!/usr/bin/env bash
# The whole test command: unit, contract and process tests, lock order checked.
# Tests listed in KNOWN-RED.txt run first, apart: their verdict is printed and
# does not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(cut -d' ' -f1 KNOWN-RED.txt | grep -E '^Test[A-Za-z0-9_]+$' | paste -sd'|' - || true)
skip=()
if [ -n "$red" ]; then
  echo "known red, see KNOWN-RED.txt; does not fail the run:"
  go test -tags lockcheck -timeout 120s -run "^($red)\$" ./... 2>&1 |
    grep -v 'no test files\|no tests to run' | sed 's/^/  known red: /' || true
  skip=(-skip "^($red)\$")
fi
go test -tags lockcheck -timeout 300s "${skip[@]}" ./... "$@"
