#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -tags review -o target/review-harness ./review/harness
