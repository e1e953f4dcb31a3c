# Commands for users, contributors and CI. `make help` lists them.
TOOLS := $(CURDIR)/.bin
BIN := $(CURDIR)/bin
export BIN

.PHONY: docs help build soak demo test check generate tools clean bench-scale bench-policy bench-hop bench-wave demo-failures

help: ## List the commands
	@grep -E '^[a-z-]+:.*## ' Makefile | sed 's/:.*## /\t/'

build: ## Build all binaries into bin/
	go build -o $(BIN)/ ./cmd/...

demo: build ## Demonstrate the guarantees on a fleet of local processes (FLEET=authority|head-office, SIZE=small|full)
	@FLEET="$(FLEET)" SIZE="$(SIZE)" scripts/demo.sh

demo-failures: build ## Kill and freeze processes, reclaim data centres and disrupt the store under load; check every answer
	@FLEET="$(FLEET)" scripts/failures.sh

bench-hop: build ## Measure the latency and CPU cost of one entry hop
	scripts/bench-hop.sh
	TOKEN_GAP=1ms WORKERS=32 OUT=docs/measurements/hop-1ms.md scripts/bench-hop.sh

bench-wave: build ## Reclaim two data centres under load, default policy versus naive
	scripts/bench-wave.sh

# Tests of the memory of processes run after the others, which would compete with them.
test: ## Run all tests uncached with the race detector; skip and print those in KNOWN-RED.txt
	skip="$$(scripts/known-red.sh)" && all="$$(go list ./...)" && packages="$$(echo "$$all" | grep -v '/pkg/hostile$$')" && \
	  go test -race -count=1 -timeout 20m -skip "$$skip" $$packages && \
	  go test -race -count=1 -timeout 20m -skip "$$skip" ./pkg/hostile

soak: build ## Run processes under random faults (SEEDS=50 LENGTH=15s FIRST=1; without FIRST the seeds are new on each run)
	$(BIN)/ironhollow-soak --program $(BIN)/ironhollow-node --seeds $(or $(SEEDS),50) --length $(or $(LENGTH),15s) $(if $(FIRST),--seed $(FIRST))

bench-scale: build ## Measure fleets of growing size (SIZES="3 9 30 100")
	scripts/bench-scale.sh

bench-policy: ## Benchmark routing and capacity policies in virtual time, with ablations (QUICK=1: three policies, takes minutes)
	POLICY_QUICK="$(QUICK)" POLICY_OUT=$(CURDIR)/docs/measurements go test -tags policybench -run TestReport -timeout 60m -v ./pkg/policybench

docs: build ## Generate the settings pages from the schemas
	$(BIN)/ironhollow-entry --print-defaults > docs/operators/settings-entry.ini
	$(BIN)/ironhollow-control --print-defaults > docs/operators/settings-control.ini
	$(BIN)/ironhollow defaults > docs/operators/configuration.ini

tools: ## Build the pinned tools into .bin/
	cd tools && GOBIN=$(TOOLS) go install github.com/google/wire/cmd/wire mvdan.cc/gofumpt github.com/mgechev/revive github.com/atombender/go-jsonschema
	cd tools/gopls && GOBIN=$(TOOLS) go install golang.org/x/tools/gopls

generate: tools ## Generate code from the schemas, and the dependency injection code
	schema/generate.sh $(TOOLS)
	$(TOOLS)/wire ./pkg/app/entry ./pkg/app/control ./pkg/app/node

check: tools ## Check formatting, lint, vet, generated code, terms in comments, and go.mod
	@test -z "$$($(TOOLS)/gofumpt -l cmd pkg platform schema scripts)" || { echo "not formatted:"; $(TOOLS)/gofumpt -l cmd pkg platform schema scripts; exit 1; }
	$(TOOLS)/revive -config revive.toml -set_exit_status ./...
	go vet ./...
	scripts/check-generated.sh $(TOOLS)
	scripts/check-prose.sh
	go mod tidy -diff
	cd tools && go mod tidy -diff
	cd tools/gopls && go mod tidy -diff

clean: ## Remove built binaries and tools
	rm -rf $(BIN) $(TOOLS)
