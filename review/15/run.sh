#!/bin/sh
# Exits with 1 if a task that lasts was not started again in time, 0 if it was, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/auburnpin.cjs ] || { echo 'target/auburnpin.cjs is missing; run the build of the deploy file'; exit 2; }
exec node review/15/case.mjs
