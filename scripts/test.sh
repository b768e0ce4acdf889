#!/usr/bin/env bash
# The whole test command: unit, contract and process tests, lock order checked.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -tags lockcheck -timeout 300s ./... "$@"
