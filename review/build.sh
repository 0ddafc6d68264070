#!/bin/sh
# Builds the stand-ins of the review's cases. It needs Go and nothing else.
set -e
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
go build -o ../../target/review/harness .
