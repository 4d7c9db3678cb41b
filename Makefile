# lynxgate: make test and make demo do everything on a fresh machine.
GO ?= go

.PHONY: build test lint demo generate bench-weights bench-config bench-requests bench-slopes

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

lint:
	@test -z "$$(gofmt -l cmd internal)" || { gofmt -l cmd internal; echo "gofmt: files above need formatting"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	internal/rpc/generate.sh

bench-weights:
	$(GO) build -o bin/bench-weights ./internal/bench/weights
	bin/bench-weights
