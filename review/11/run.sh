#!/usr/bin/env bash
# Cuts hosts that read the store for others off from it, one at a time, while workers leave, and
# checks that no other host sends requests to these workers too late. Exits with 1 if one did, 0 if
# none did and 2 if the case could not run. TROUBLE=0 leaves out the cuts.
cd "$(dirname "$0")/../.." || exit 2
for program in target/teaselplank target/review-3/lab-3; do
	if [ ! -x "$program" ]; then
		printf '%s is missing: run the build of the deploy file and review/build-3.sh\n' "$program" >&2
		exit 2
	fi
done
exec target/review-3/lab-3 reader review/11
