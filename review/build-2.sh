#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10. Run it after the build line of deploy/system.toml.
cd "$(dirname "$0")/.." && go build -ldflags=-linkmode=external -o target/harness2 ./review/harness2
