#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/buckthornlever.jar ] && [ -e review/standins-2/target/Main.class ] || exit 2
exec java -Xmx512m -cp review/standins-2/target Main head-limit review/10
