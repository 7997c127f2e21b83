# The tools are pinned here and installed into bin/tools.
LINT_VERSION := v2.15.0
GOFUMPT_VERSION := v0.11.0
GOPLS_VERSION := v0.22.0
TOOLS := $(CURDIR)/bin/tools
PROGRAMS := samphirewick samphirewick-control samphirewick-entry samphirewick-standin
MODULES := . $(addprefix ./cmd/,$(PROGRAMS))
SEED ?= 1

.PHONY: build demo test lint format tools bench capacity soak guards fuzz failures

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./cmd/$$p || exit 1; done

demo: build
	@scripts/demo.sh

test: build
	@scripts/test.sh

lint: $(TOOLS)/golangci-lint
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint run --allow-parallel-runners --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

format: $(TOOLS)/golangci-lint
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint fmt --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

$(TOOLS)/golangci-lint: Makefile
	@GOBIN=$(TOOLS) GOFLAGS=-buildvcs=false GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@touch $@

# gopls renames identifiers across the modules; its release is the newest that builds with this Go.
tools: $(TOOLS)/golangci-lint $(TOOLS)/gopls

$(TOOLS)/gopls: Makefile
	@GOBIN=$(TOOLS) GOFLAGS=-buildvcs=false GOWORK=off go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	@touch $@

guards:
	@scripts/guards.sh

soak:
	@SAMPHIREWICK_SOAK_SEED=$(SEED) go test -count=1 -timeout 60m ./internal/replicator ./internal/reducer ./internal/placer ./internal/planner

fuzz:
	@go test -run xxx -fuzz FuzzOpen -fuzztime 60s ./internal/journaler
	@go test -run xxx -fuzz FuzzDecode -fuzztime 60s ./internal/reducer

failures: build
	@scripts/failures.sh

bench:
	@SAMPHIREWICK_BENCH=1 go test -count=1 -run 'Packing|Festival|SlotAssignment|UrgentWorkUnder' -v ./internal/router ./internal/planner | grep -E 'measure|FAIL:' || true
	@go test -run xxx -bench . -benchtime 1s ./internal/placer ./internal/planner ./internal/scheduler ./internal/coordinator | grep Benchmark

capacity: build
	@bin/samphirewick-standin capacity --page docs/CAPACITY.md
