#!/bin/sh
# Builds the stand-ins of the scripts; the programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand
