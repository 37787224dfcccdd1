#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The project's own programs
# come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/harness
