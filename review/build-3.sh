#!/usr/bin/env bash
# Builds the stand-ins and the player of the scripts in review/11 to review/15. The system
# itself is built with the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/rig-3 ./review/rig-3
