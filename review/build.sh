#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review; the build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[1-5]; do
  if [ -f "$dir/main.go" ]; then
    go build -o "target/review/case-$(basename "$dir")" "./$dir"
  fi
done
