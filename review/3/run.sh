#!/usr/bin/env bash
# Plays this case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-harness ] || [ ! -x target/pollenvm ]; then
	echo "build the program as the deploy file does, and review/build.sh" >&2
	exit 2
fi
exec target/review-harness stop review/3
