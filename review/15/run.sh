#!/usr/bin/env bash
# The region whose daemons read the store loses power, then the configuration changes: rule CONFIG.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -f target/platform/kingcuptided.jar ] || [ ! -d target/review-3 ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
exec java -Xmx512m -cp target/review-3 Main region review/15
