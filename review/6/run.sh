#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The build of the deploy file and review/build-2.sh
# have to run first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollenvm ] && [ -x target/review2 ] || exit 2
exec target/review2 stopping-leader review/6/record.txt
