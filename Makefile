.PHONY: build test fuzz lint run

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
	go test -fuzz FuzzReader -fuzztime 30s ./internal/wire

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go' ':!journal/'))" || { echo "gofmt wants to change files"; exit 1; }
	go vet ./...

run: build
	bin/hoplab demo
