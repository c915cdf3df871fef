# make test is what CI runs; make demo shows the system at work.

.PHONY: test demo platform-demo build generate bench mutants soak faults fuzz capacity

build:
	go build -o bin/ ./cmd/teaselplank ./cmd/standin

test:
	bash scripts/test.sh

demo:
	bash scripts/demo.sh

# Shows one request of each kind on stand-ins of the users' platform.
platform-demo:
	bash scripts/platform-demo.sh

# Needs protoc and both generators on the PATH; the output is committed.
generate:
	protoc --go_out=. --go_opt=module=teaselplank --twirp_out=. --twirp_opt=module=teaselplank peerpb/peer.proto
	sha256sum peerpb/peer.proto > peerpb/peer.proto.sha256

# Compares policies with the baseline, fault by fault, for both users.
bench:
	go run ./cmd/bench

# Shows that the tests fail on wrong versions of the code.
mutants:
	go run ./scripts/mutate scripts/mutants.ini

# Runs the property tests on fresh seeds for SOAK seconds.
SOAK ?= 600
soak:
	bash scripts/soak.sh $(SOAK)

# Runs fresh seeds of the fault soak: the real programs as processes, with faults
# from outside. SEEDS is their number, FIRST the first of them.
SEEDS ?= 50
FIRST ?= $(shell date +%s)
faults:
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) SOAK_LENGTH=16 go test -timeout 0 -parallel 4 -v -run TestSoak ./soak

# Fuzzes the parsers of outside input for FUZZ each: the rules grammar, the settings, and
# configurations, entries, answers, pages and events of the users' platform.
FUZZ ?= 1m
FUZZ_FLAGS = -fuzztime $(FUZZ) -fuzzminimizetime 100x
fuzz:
	go test -run xxx -fuzz FuzzParse $(FUZZ_FLAGS) ./rules
	go test -run xxx -fuzz FuzzParse $(FUZZ_FLAGS) ./conf
	go test -run xxx -fuzz FuzzParseConfig $(FUZZ_FLAGS) ./platform
	go test -run xxx -fuzz FuzzParseUpstream $(FUZZ_FLAGS) ./platform
	go test -run xxx -fuzz FuzzParseStageResponse $(FUZZ_FLAGS) ./platform
	go test -run xxx -fuzz FuzzParseLoad $(FUZZ_FLAGS) ./platform
	go test -run xxx -fuzz FuzzParseRequest $(FUZZ_FLAGS) ./platform
	go test -run xxx -fuzz FuzzDecodeLog $(FUZZ_FLAGS) ./platform
	go test -run xxx -fuzz FuzzEvents $(FUZZ_FLAGS) ./events

# Measures the slopes that docs/CAPACITY.md uses.
capacity:
	go test -run xxx -bench . -benchtime 500ms -count 3 ./core ./rules ./ledger ./member ./server
	bash scripts/control.sh
