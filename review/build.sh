#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases into review/target. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes standins/*.java
