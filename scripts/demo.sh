#!/usr/bin/env bash
# Demonstrates the system: a stand-in platform, upstreams of every kind in two
# availability zones and four entry hosts, each as a separate process. One entry host is
# stopped gracefully and one is killed under load. Ends with one line of counts and fails
# if a result was lost, a call ran twice or a result went to the wrong call.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${DEMO_PORT:-18000}
duration=${DEMO_DURATION:-15s}
work=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM

say() { printf '%s\n' "$*"; }

say "building"
go build -o bin/ ./cmd/teaselplank ./cmd/standin
export TEASELPLANK_OPERATOR_TOKEN=demo-operator-secret
token=kingston-demo-credential

start() { # name command...
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
	eval "pid_${name//-/_}=$!"
}

say "starting the stand-in platform and upstreams in zones a and b"
start platform bin/standin platform --listen "127.0.0.1:$base"
port=$((base + 10))
hosts=""
counters=()
for zone in a b; do
	for pool in encode retrieve rerank generate filing status; do
		id="$pool-$zone"
		start "$id" bin/standin upstream --listen "127.0.0.1:$port"
		hosts+="{\"id\":\"$id\",\"incarnation\":\"1\",\"role\":\"upstream\",\"pool\":\"$pool\",\"zone\":\"$zone\",\"addr\":\"127.0.0.1:$port\"},"
		if [ "$pool" = filing ]; then counters+=("127.0.0.1:$port"); fi
		port=$((port + 1))
	done
done

say "starting four entry hosts"
callers=()
for i in 1 2 3 4; do
	zone=a
	if [ "$i" -gt 2 ]; then zone=b; fi
	cat >"$work/node-$i.ini" <<INI
[node]
id = entry-$i
zone = $zone
drain_lag = 1s
[listen]
callers = 127.0.0.1:$((base + 100 + i))
peers = 127.0.0.1:$((base + 200 + i))
operators = 127.0.0.1:$((base + 300 + i))
[secrets]
peers = demo-peer-secret-0123
operators = $TEASELPLANK_OPERATOR_TOKEN
[platform]
url = http://127.0.0.1:$base
INI
	start "entry-$i" bin/teaselplank serve "$work/node-$i.ini"
	callers+=("127.0.0.1:$((base + 100 + i))")
	hosts+="{\"id\":\"entry-$i\",\"incarnation\":\"1\",\"role\":\"entry\",\"zone\":\"$zone\",\"addr\":\"127.0.0.1:$((base + 200 + i))\"},"
done
echo "[${hosts%,}]" >"$work/hosts.json"

retry() {
	for _ in $(seq 100); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	say "timed out waiting for: $*"
	"$@"
}
retry bin/standin send PUT "http://127.0.0.1:$base/hosts" "$work/hosts.json"
for addr in "${callers[@]}"; do retry bin/standin send GET "http://$addr/readyz"; done

export TEASELPLANK_NODE=127.0.0.1:$((base + 301))
sees_all() { [ "$(bin/teaselplank status | grep -c ' live ')" = 4 ]; }
retry sees_all

say "publishing the rules"
bin/teaselplank rules publish examples/rules.txt --base 0 --who "demo" --wait
bin/teaselplank status

say "one call of each kind"
bin/teaselplank call --node "${callers[0]}" --token "$token" --pipeline drafts --tokens 8 --input "a leaking roof" --stream
bin/teaselplank call --node "${callers[1]}" --token "$token" --service filing --once --input "claim 17"

say "calls against all entry hosts for $duration"
nodes=$(IFS=,; echo "${callers[*]}")
bin/standin drive --nodes "$nodes" --token "$token" \
	--pipeline drafts --stages encoder,retriever,reranker,generator --tokens 32 \
	--service filing --counters "$(IFS=,; echo "${counters[*]}")" \
	--killed "${callers[2]}" --rate 20 --duration "$duration" >"$work/drive.out" 2>&1 &
drive=$!
sleep 4
say "stopping entry-2 gracefully"
kill -TERM "$pid_entry_2"
sleep 4
say "killing entry-3"
kill -KILL "$pid_entry_3"
wait "$pid_entry_3" 2>/dev/null || true
status=0
wait "$drive" || status=$?
bin/teaselplank status
say "counts: $(tail -n 1 "$work/drive.out" | tr -d '\n')"
if [ "$status" -ne 0 ]; then
	cat "$work/drive.out"
	exit 1
fi
