#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
