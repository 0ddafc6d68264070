#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/6 to review/9 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/harness-2 ./review/harness-2
