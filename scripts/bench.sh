#!/usr/bin/env bash
# Prints the simulated benchmarks, which are deterministic for a given seed,
# followed by the benchmarks whose results depend on the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./bench "$@"
echo
echo "Routing decisions compared with a full scan (target: below 10 microseconds at 6,100 servers, no allocation)"
go test -run '^$' -bench BenchmarkDecision -benchtime 3000x ./internal/core/routing
echo
echo "One entry process on one core compared with direct calls to the engine"
go test -run '^$' -bench BenchmarkEntry -benchtime 2000x -timeout 90s ./bench
