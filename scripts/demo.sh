#!/usr/bin/env bash
# Builds everything, runs a site as separate processes, breaks it, and prints a
# table of what held. Exits 0 only if all of it held.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./cmd/fescuespar ./standin/cmd/standin
"$bin/standin" demo --product "$bin/fescuespar" --deployments examples/demo --checked examples
