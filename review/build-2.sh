#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-cases-2 ./review/cases-2
