GO ?= go

.PHONY: all build demo test lint format spec chaos bench-decision capacity fuzz clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# demo runs a whole deployment on loopback and shows what it does.
demo: build
	./scripts/demo.sh

test:
	$(GO) test ./...

lint:
	golangci-lint run ./...

format:
	@test -z "$$(gofmt -l cmd internal)" || { gofmt -l cmd internal; exit 1; }

clean:
	rm -rf bin
