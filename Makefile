# Main targets: build, demo, test, bench. CI runs `make test`.
GO ?= go
BIN ?= bin

.PHONY: build demo test check unit crowd fuzz bench

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/chestnuthollowd all-in-one --demo

test: check unit crowd

# Static checks: formatting, vet, staticcheck and a build of all packages.
check:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) build ./...

# All tests under the race detector, except those listed in KNOWN-RED.txt, which
# are printed and skipped. The test cache is disabled (-count=1) because test/e2e
# builds the programs itself, and the cache does not detect changes to them. The
# tests of crowds are left to the target crowd.
KNOWN_RED = grep -v '^\#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | sed '/^$$/d; s/.*/^&$$/' | paste -sd'|'
unit:
	@echo "known failing tests (skipped):"; grep -v '^#' KNOWN-RED.txt || true
	@skip=$$($(KNOWN_RED)); \
	$(GO) test -race -count=1 -timeout 10m -skip "^TestCrowd$${skip:+|$$skip}" ./...

# Tests that measure the memory of processes under hundreds of connections: one at a
# time, with no other test beside them.
CROWD_PACKAGES = ./test/platform ./test/e2e
crowd:
	@skip=$$($(KNOWN_RED)); \
	$(GO) test -count=1 -p 1 -parallel 1 -timeout 20m -run '^TestCrowd' $${skip:+-skip "$$skip"} $(CROWD_PACKAGES)

# Runs each fuzz target for FUZZTIME. `make test` runs their seeds only.
FUZZTIME ?= 3s
FUZZPARALLEL ?= 2
fuzz:
	@set -e; for dir in $$(grep -rl --include=*_test.go '^func Fuzz' . | xargs -n1 dirname | sort -u); do \
		for target in $$(cat $$dir/*_test.go | sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p'); do \
			echo "$$dir $$target"; \
			out=$$($(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 10x -parallel $(FUZZPARALLEL) $$dir 2>&1) || { echo "$$out"; exit 1; }; \
		done; \
	done

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
