#!/bin/sh
# Plays the case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/case-3.cjs ] || exit 2
exec node target/review/case-3.cjs
