#!/usr/bin/env bash
# Measures what a node spends on control alone: nodes without calls, by the
# number of nodes and of upstreams. Prints processor time, memory and threads of
# one node. Usage: scripts/control.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
base=19000
go build -o bin/ ./cmd/teaselplank ./cmd/standin
token=control-operator-secret
pids=()
work=$(mktemp -d)
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	pids=()
}
trap 'finish; rm -rf "$work"' EXIT

metric() { # port name
	TEASELPLANK_OPERATOR_TOKEN=$token bin/standin send GET "http://127.0.0.1:$1/metrics" --token "$token" | awk -v n="$2" '$1 == n { print $2 }'
}

measure() { # nodes upstreams
	local nodes=$1 upstreams=$2 hosts="" i
	bin/standin platform --listen "127.0.0.1:$base" --lag 0s & pids+=($!)
	bin/standin upstream --listen "127.0.0.1:$((base + 1000))" --count "$upstreams" & pids+=($!)
	for ((i = 0; i < upstreams; i++)); do
		hosts+="{\"id\":\"w$i\",\"incarnation\":\"1\",\"role\":\"upstream\",\"pool\":\"pool-$((i % 4))\",\"zone\":\"a\",\"addr\":\"127.0.0.1:$((base + 1000 + i))\"},"
	done
	for ((i = 0; i < nodes; i++)); do
		hosts+="{\"id\":\"n$i\",\"incarnation\":\"1\",\"role\":\"entry\",\"zone\":\"a\",\"addr\":\"127.0.0.1:$((base + 300 + i))\"},"
		printf '[node]\nid = n%d\nzone = a\ndrain_lag = 0s\n[listen]\ncallers = 127.0.0.1:%d\npeers = 127.0.0.1:%d\noperators = 127.0.0.1:%d\n[secrets]\npeers = control-peer-secret\noperators = %s\n[platform]\nurl = http://127.0.0.1:%d\n' \
			"$i" $((base + 100 + i)) $((base + 300 + i)) $((base + 500 + i)) "$token" "$base" >"$work/$i.ini"
		bin/teaselplank serve "$work/$i.ini" 2>/dev/null & pids+=($!)
	done
	sleep 1
	echo "[${hosts%,}]" >"$work/hosts.json"
	bin/standin send PUT "http://127.0.0.1:$base/hosts" "$work/hosts.json"
	sleep 4
	local port=$((base + 500)) before after
	before=$(metric $port process_cpu_seconds_total)
	sleep "$seconds"
	after=$(metric $port process_cpu_seconds_total)
	awk -v n="$nodes" -v u="$upstreams" -v b="$before" -v a="$after" -v s="$seconds" -v m="$(metric $port process_resident_memory_bytes)" -v g="$(metric $port go_goroutines)" \
		'BEGIN { printf "nodes %3d upstreams %4d: %.2f%% of a core, %.0f MB resident, %d goroutines\n", n, u, 100 * (a - b) / s, m / 1e6, g }'
	finish
}

measure 2 16
measure 2 96
measure 2 288
measure 8 16
measure 32 16
