#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network: the
# module has no dependencies.
set -e
cd "$(dirname "$0")/stage2"
go build -o ../../target/stage2 .
