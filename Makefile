GO ?= go

.PHONY: all build demo test lint format spec mutants chaos soak soak-mutants measure bench-decision capacity fuzz clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# demo runs a complete deployment on loopback and shows its main functions.
demo: build
	./scripts/demo.sh

# The tests with real processes take about ten minutes, which is the default timeout of go test.
test:
	$(GO) test -timeout 20m ./...

lint:
	golangci-lint run ./...

format:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; exit 1; }

clean:
	rm -rf bin

# bench-decision compares the admission decisions with their baselines on held-out
# seeds and writes figures and plots.
bench-decision: build
	bin/sparshore-bench decision --ablations --faults --json docs/bench/decision.json --plots docs/bench | tee docs/bench/decision.txt

# spec checks the models with all safeguards, and with each safeguard removed.
spec:
	./spec/all.sh

# mutants removes safeguards from a scratch copy of the code; tests must fail.
mutants:
	./scripts/mutants.sh

# chaos runs a seeded mix of failures under load: make chaos SEED=3 REQUESTS=500
SEED ?= 1
REQUESTS ?= 500
chaos:
	$(GO) test -count=1 -timeout 20m ./internal/scenario -run TestChaos -v -args -chaos.seed=$(SEED) -chaos.requests=$(REQUESTS)

# soak runs gateways as processes under faults: make soak SEED=3 SEEDS=6, or with
# new seeds for some minutes: make soak MINUTES=5. LOGS names a folder that keeps
# the logs of seeds with violations.
SEEDS ?= 1
SECONDS ?= 6
MINUTES ?= 0
LOGS ?=
soak:
	$(GO) test -count=1 -timeout 60m ./platform/soak -run 'TestSoak$$' -v -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.seconds=$(SECONDS) -soak.minutes=$(MINUTES) -soak.logs=$(LOGS)

# soak-mutants removes safeguards from a scratch copy; the soak test must fail.
soak-mutants:
	./scripts/soak-mutants.sh

# fuzz runs each fuzz target for a short time.
FUZZTIME ?= 10s
fuzz:
	$(GO) test ./internal/config -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./internal/sidecar -run '^$$' -fuzz FuzzReadChunks -fuzztime $(FUZZTIME)
	$(GO) test ./internal/sidecar -run '^$$' -fuzz FuzzTokensFrame -fuzztime $(FUZZTIME)
	$(GO) test ./internal/link -run '^$$' -fuzz FuzzSoundHeads -fuzztime $(FUZZTIME)
	$(GO) test ./internal/gossip -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	$(GO) test ./internal/gossip -run '^$$' -fuzz FuzzMembersAndBundles -fuzztime $(FUZZTIME)
	$(GO) test ./internal/jsonbound -run '^$$' -fuzz FuzzCheck -fuzztime $(FUZZTIME)
	$(GO) test ./internal/directory -run '^$$' -fuzz FuzzDecodeRow -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeUpstream -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeRoutes -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzClosedZone -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzRowOfAnAnswer -fuzztime $(FUZZTIME)

# capacity measures control traffic in bytes, processor time and memory for growing
# numbers of peers and accounts and growing configurations.
capacity:
	$(GO) test -count=1 -timeout 20m ./internal/scenario -run 'TestCapacity' -v -args -measure

# measure prints figures of the request path and of rollouts; it checks no bounds.
measure:
	$(GO) test -count=1 -timeout 20m ./internal/scenario -run 'TestMeasure' -v -args -measure
