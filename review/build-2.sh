#!/usr/bin/env bash
# Compiles the stand-ins of the second review into review/standins-2/target.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p target
javac -d target src/*.java
