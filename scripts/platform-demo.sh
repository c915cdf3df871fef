#!/usr/bin/env bash
# Runs a deployment on one machine: stand-ins for the users' platform (store and
# workers) and two entry hosts. Sends one request of each kind to each entry host, before
# and after a drill: the store is restored from a copy, an upstream leaves and another one
# asks for a pause. Fails if a request fails.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${DEMO_PORT:-18600}
work=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM

go build -o bin/ ./cmd/teaselplank ./cmd/standin
bin/standin deploy --listen "127.0.0.1:$base" >"$work/deploy.log" 2>&1 &
pids+=($!)
for i in 1 2; do
	cat >"$work/entry-$i.ini" <<INI
[node]
id = entry-$i
zone = a
[listen]
callers = 127.0.0.1:$((base + 10 * i))
ready = 127.0.0.1:$((base + 10 * i + 1))
peers = 127.0.0.1:$((base + 10 * i + 2))
metrics = 127.0.0.1:$((base + 10 * i + 3))
[platform]
store = 127.0.0.1:$base
INI
	bin/teaselplank entry --check "$work/entry-$i.ini"
	bin/teaselplank entry "$work/entry-$i.ini" >"$work/entry-$i.log" 2>&1 &
	pids+=($!)
done
for i in 1 2; do
	for _ in $(seq 100); do
		if bin/standin send GET "http://127.0.0.1:$((base + 10 * i + 1))/readyz" >/dev/null 2>&1; then break; fi
		sleep 0.1
	done
	printf 'entry-%d\n' "$i"
	bin/standin ask --node "127.0.0.1:$((base + 10 * i))"
done
printf 'drill\n'
bin/standin send POST "http://127.0.0.1:$base/drill"
for i in 1 2 1 2; do
	bin/standin ask --node "127.0.0.1:$((base + 10 * i))" >/dev/null
done
grep -hoE '"(store was restored from a copy|upstream is leaving|upstream asked for a pause|configuration in force)".*' "$work"/entry-*.log
sleep 0.3
printf 'decisions on the last stream:\n'
cat "$work"/entry-*.log | grep -F "$(grep -ho '"request":"demo-[^"]*-2"' "$work"/entry-2.log | tail -n 1)" | tail -n 8
