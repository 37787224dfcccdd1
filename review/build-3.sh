#!/bin/sh
# Builds the stand-ins that the cases from 11 on start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standins-3
