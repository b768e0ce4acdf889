#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program, target/review-stage.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o ../target/review-stage ./stage
