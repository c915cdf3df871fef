# make test is what CI runs; make demo shows the system at work.

.PHONY: test demo build generate bench mutants soak

build:
	go build -o bin/ ./cmd/teaselplank ./cmd/standin

test:
	bash scripts/test.sh

demo:
	bash scripts/demo.sh

# Needs protoc and both generators on the PATH; the output is committed.
generate:
	protoc --go_out=. --go_opt=module=teaselplank --twirp_out=. --twirp_opt=module=teaselplank peerpb/peer.proto
	sha256sum peerpb/peer.proto > peerpb/peer.proto.sha256

# Compares policies with the baseline, fault by fault, for both users.
bench:
	go run ./cmd/bench

# Shows that the tests catch wrong versions.
mutants:
	go run ./scripts/mutate scripts/mutants.ini

# Runs the property tests on fresh seeds; SOAK is the number of histories each.
SOAK ?= 100000
soak:
	go test -count=1 -timeout 0 ./ledger ./rules ./member ./pipe ./core -rapid.seed=0 -rapid.checks=$(SOAK)
