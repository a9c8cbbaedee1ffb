#!/usr/bin/env bash
# Builds the stand-ins of the third review. It needs no network once the build line of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
