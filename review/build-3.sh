#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the third review, beside the programs that
# the deploy file's build puts there.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
mkdir -p target
go build -o target/cases-3 ./review/cases-3
