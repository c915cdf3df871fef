# make test is what CI runs; make demo shows the system at work.

.PHONY: test demo build generate

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
