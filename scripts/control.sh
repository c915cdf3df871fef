#!/usr/bin/env bash
# Measures the processor time, memory and goroutines of one node: without calls, for
# several numbers of nodes and upstreams, and with calls, for several rates and token
# counts. Usage: scripts/control.sh [SECONDS]
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
	spent "nodes $nodes, upstreams $upstreams"
}

# spent prints the resource usage of the first node, measured over $seconds.
spent() { # text
	local port=$((base + 500)) before after
	before=$(metric $port process_cpu_seconds_total)
	sleep "$seconds"
	after=$(metric $port process_cpu_seconds_total)
	awk -v t="$1" -v b="$before" -v a="$after" -v s="$seconds" -v m="$(metric $port process_resident_memory_bytes)" -v g="$(metric $port go_goroutines)" \
		'BEGIN { printf "%s: %.2f%% of a core, %.0f MB resident, %d goroutines\n", t, 100 * (a - b) / s, m / 1e6, g }'
}

serve() { # rate tokens
	bin/teaselplank load --node "127.0.0.1:$((base + 100))" --token kingston-demo-credential \
		--pipeline drafts --tokens "$2" --rate "$1" --duration "$((seconds + 3))s" >"$work/load.out" &
	local load=$!
	sleep 2
	spent "calls $1 a second, $2 tokens each"
	wait $load
	sed 's/^/    /' "$work/load.out"
}

for size in "2 16" "2 96" "2 288" "8 16" "32 16"; do
	# shellcheck disable=SC2086
	measure $size
	finish
done

measure 1 8 >/dev/null
bin/standin upstream --listen "127.0.0.1:$((base + 2000))" --count 8 --slots 64 --latency 5ms --token 2ms & pids+=($!)
hosts=""
i=0
for pool in encode retrieve rerank generate; do
	for n in 0 1; do
		hosts+="{\"id\":\"$pool-$n\",\"incarnation\":\"1\",\"role\":\"upstream\",\"pool\":\"$pool\",\"zone\":\"a\",\"addr\":\"127.0.0.1:$((base + 2000 + i))\"},"
		i=$((i + 1))
	done
done
echo "[${hosts%,}]" >"$work/hosts.json"
bin/standin send PUT "http://127.0.0.1:$base/hosts" "$work/hosts.json"
sed 's/tokens=256/tokens=400/' examples/rules.txt >"$work/rules.txt"
TEASELPLANK_OPERATOR_TOKEN=$token bin/teaselplank rules publish "$work/rules.txt" --node "127.0.0.1:$((base + 500))" --base 0 --who control >/dev/null
sleep 2
serve 10 357
serve 30 357
serve 30 36
