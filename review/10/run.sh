#!/usr/bin/env bash
# Runs the case "little-traffic"; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bambooferryd ] || [ ! -x target/review-stand ]; then
  echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
exec target/review-stand little-traffic review/10
