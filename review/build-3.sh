#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. The gateways are built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-3/harness3 ./review/harness3
