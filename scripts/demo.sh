#!/usr/bin/env bash
# Builds everything, runs a site as separate processes, breaks it, prints a
# table of what held, and serves the printed examples. Exits 0 only if all held.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./cmd/fescuespar ./standin/cmd/standin
"$bin/standin" demo --product "$bin/fescuespar" --deployments examples/demo --checked examples

# The printed examples of both sites: published by racing operators and served.
go test -count 1 -v -run '^TestExamplesAreServed$' ./tests/process | grep -E '^(---|ok|FAIL)|_test.go'
