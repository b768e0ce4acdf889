#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. It needs no network: the
# module has no dependencies.
set -e
cd "$(dirname "$0")/stage3"
go build -o ../../target/stage3 .
