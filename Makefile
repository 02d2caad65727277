.PHONY: build test fuzz lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

fuzz:
	go test -fuzz FuzzParse -fuzztime 30s ./internal/meta
	go test -fuzz FuzzParseAnswer -fuzztime 30s ./internal/http1
	go test -fuzz FuzzParseRequest -fuzztime 30s ./internal/http1

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go' ':!journal/'))" || { echo "gofmt wants to change files"; exit 1; }
	go vet ./...

run: build
	bin/hoplab demo
