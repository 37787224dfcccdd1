# Targets: build, demo, test, bench. `make test` is what CI runs.
GO ?= go
BIN ?= bin

.PHONY: build demo test check unit bench

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/chestnuthollowd all-in-one --demo

test: check unit

# Formatter and linters, each clean.
check:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) build ./...

# All tests under the race detector, but for those in KNOWN-RED.txt, which are
# printed. None is taken from the cache: test/e2e builds the programs itself,
# which the cache does not see.
unit:
	@echo "known red:"; grep -v '^#' KNOWN-RED.txt || true
	@skip=$$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | sed '/^$$/d; s/.*/^&$$/' | paste -sd'|'); \
	$(GO) test -race -count=1 -timeout 10m $${skip:+-skip "$$skip"} ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
