#!/usr/bin/env bash
# Soak test: runs seeded fault plans against the real binaries.
#   scripts/soak.sh --seeds 50 --seed 1 [--processes 4] [--traffic 10s] [--at-once 3] [--logs FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
args=() at_once=3
while [ $# -gt 1 ]; do
  case "$1" in
    --seeds|--seed|--processes|--traffic|--logs) args+=("-soak.${1#--}=$2") ;;
    --at-once) at_once=$2 ;;
    *) echo "soak.sh: unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
if [ $# -gt 0 ]; then
  echo "soak.sh: option $1 requires a value" >&2
  exit 2
fi
exec go test ./platform/soak -count=1 -run '^TestSoak$' -timeout 0 -parallel "$at_once" -v "${args[@]}"
