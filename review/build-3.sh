#!/usr/bin/env bash
# Builds the stand-ins of the third review. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standins-3
