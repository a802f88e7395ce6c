#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; the programs of the deployment come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
