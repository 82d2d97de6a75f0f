#!/bin/sh
# Exits with 1 if an accepted submission was shown as failed without cause, 0 if not, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/auburnpin.cjs ] || { echo 'target/auburnpin.cjs is missing; run the build of the deploy file'; exit 2; }
exec node review/15/case.mjs
