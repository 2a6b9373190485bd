#!/usr/bin/env bash
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 118 java -Xmx1g -cp ../target/classes ForgottenPart ../.. record.txt
