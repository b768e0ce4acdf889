#!/usr/bin/env bash
# Builds the binaries, runs a site as separate processes, injects failures,
# prints a table of the checks, and serves the documented examples. Exits 0 only
# if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./cmd/fescuespar ./standin/cmd/standin
"$bin/standin" demo --product "$bin/fescuespar" --deployments examples/demo --checked examples

# The documented examples of both sites, published by concurrent operators and
# served.
go test -count 1 -v -run '^TestExamplesAreServed$' ./tests/process | grep -E '^(---|ok|FAIL)|_test.go'
