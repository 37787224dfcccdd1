#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standins-2
