#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standin-2/*.java
