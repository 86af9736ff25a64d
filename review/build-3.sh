#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, beside the program that the deploy file
# builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/ ./review/standin-3
