#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/standin-3/*.java
