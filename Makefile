# lynxgate: make test and make demo do everything on a fresh machine.
GO ?= go

.PHONY: build test race race-ci lint demo generate bench-weights bench-config bench-requests bench-slopes bench-live

build:
	$(GO) build -o bin/ ./cmd/...

# All tests but those in KNOWN-RED.txt; without that file go test -count=1 -timeout=15m ./...
test:
	$(GO) run ./internal/knownred

# The packages that hold concurrency, with the race detector: race-ci those that take less than two minutes, race all. The others spend
# minutes on simulations of load in one goroutine.
RACE_CI = ./internal/dispatch ./internal/fleetcontrol ./internal/follow ./internal/gateway ./internal/relay ./internal/replica \
	./internal/reservation/client ./internal/reservation/server ./internal/staging

race-ci:
	$(GO) test -count=1 -race $(RACE_CI)

race: race-ci
	$(GO) test -count=1 -race -timeout 20m ./internal/balance ./internal/quarantine ./internal/reservation

demo: build
	$(GO) run ./internal/demo

lint:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; echo "gofmt: files above need formatting"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	internal/rpc/generate.sh

# bench-live compares callers' times with and without a burst of weights.
bench-live: build
	$(GO) run ./internal/demo -live -copies 12

# The benches print figures and compare within one run; no test depends on them.
bench-weights bench-config bench-requests bench-slopes: bench-%: build
	$(GO) build -o bin/bench-$* ./internal/bench/$*
	bin/bench-$*
