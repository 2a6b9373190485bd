#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes standins/*.java
