#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/rig
