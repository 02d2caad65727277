.PHONY: build test fuzz drills soak scale lint run

# Drills that every change has to pass, about four minutes.
DRILLS = $(addprefix lab/drills/,view-one-way.toml view-restarted.toml view-all-restarted.toml view-killed.toml view-left.toml \
	view-cache-back.toml view-wrong-list.toml view-former-life.toml permits-cut-off.toml killed.toml long-answers.toml writes-under-resets.toml surplus-answers.toml surplus-held-back.toml slow-writes.toml \
	drain-cache.toml release.toml release-driver-paused.toml)

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 -timeout 240s ./...

fuzz:
	go test -rapid.seed=0 -rapid.checks=5000 $$(go list -f '{{join .TestImports " "}} {{join .XTestImports " "}} {{.ImportPath}}' ./... | awk '/pgregory.net\/rapid/ {print $$NF}')
	go test -fuzz FuzzParse -fuzztime 30s ./internal/meta
	go test -fuzz FuzzParseAnswer -fuzztime 30s ./internal/http1
	go test -fuzz FuzzParseRequest -fuzztime 30s ./internal/http1
	go test -fuzz FuzzParse -fuzztime 30s ./internal/opfile
	go test -fuzz FuzzLoad -fuzztime 30s ./internal/plan
	go test -fuzz FuzzReceive -fuzztime 30s ./internal/fleet/view
	go test -fuzz FuzzParse -fuzztime 30s ./internal/fleet/permit
	go test -fuzz FuzzParse -fuzztime 30s ./internal/fleet/leases
	go test -fuzz FuzzReader -fuzztime 30s ./internal/wire

drills: build
	bin/hoplab drill --at-once 3 $(DRILLS)

# Drawn days in which several kinds of trouble meet, under a minute. More by hand: bin/hoplab soak --seeds 50 --at-once 6
soak: build
	bin/hoplab soak --seeds 4 --at-once 4

# A fleet of 30 routers, four of them processes, under a minute.
scale: build
	bin/hoplab scale lab/scale/short.toml --quiet

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go' ':!journal/'))" || { echo "gofmt wants to change files"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

run: build
	bin/hoplab demo
