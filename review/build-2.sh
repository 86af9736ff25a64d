#!/bin/sh
# Builds the stand-in of the second review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2/standin-2 ./review/standin-2
