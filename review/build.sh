#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standin/*.java
