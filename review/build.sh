#!/usr/bin/env bash
# Builds the stand-in that all scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/standin ./review/standin
