#!/usr/bin/env bash
# Runs the property tests with new random seeds for a given time. Prints the number of
# histories that were tried and the seed of a failure. Usage: scripts/soak.sh [SECONDS]
set -uo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-600}
checks=20000
packages="ledger rules lease member pipe"
declare -A tried
for p in $packages; do
	tried[$p]=0
	go test -c -o "${TMPDIR:-/tmp}/soak-$p.test" "./$p" || exit 1
done
status=0
end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ] && [ $status -eq 0 ]; do
	for p in $packages; do
		count=$checks
		if [ "$p" = member ]; then count=500; fi
		if ! (cd "$p" && "${TMPDIR:-/tmp}/soak-$p.test" -rapid.seed=0 -rapid.checks=$count -test.timeout 0 >"${TMPDIR:-/tmp}/soak.out" 2>&1); then
			grep -E 'failed after|reproduce|_test.go' "${TMPDIR:-/tmp}/soak.out" | head -20
			status=1
			break
		fi
		tried[$p]=$((tried[$p] + count))
	done
done
for p in $packages; do echo "$p: ${tried[$p]} histories of each property"; done
exit $status
