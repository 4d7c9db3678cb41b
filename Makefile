# lynxgate: make test and make demo do everything on a fresh machine.
GO ?= go

.PHONY: build test lint demo generate bench-weights bench-config bench-requests bench-slopes

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

demo: build
	$(GO) run ./internal/demo

lint:
	@test -z "$$(gofmt -l cmd internal)" || { gofmt -l cmd internal; echo "gofmt: files above need formatting"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	internal/rpc/generate.sh

# bench-slopes measures what daemons cost at four sizes of a fleet and writes
# the tables of docs/CAPACITY.md again.
bench-slopes: build
	$(GO) run ./internal/bench/slopes

bench-config: build
	$(GO) build -o bin/bench-config ./internal/bench/config
	bin/bench-config
