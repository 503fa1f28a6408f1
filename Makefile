# The two commands of the project are `make demo` and `make test`.

GO ?= go
TOOLS := bin/tools
LINT_VERSION := v2.12.2
FUMPT_VERSION := v0.9.2
WIRE_VERSION := v0.7.0

.PHONY: demo build test lint race unit cross generate

demo: build
	bin/ferrylab demo

build:
	$(GO) build -o bin/ ./cmd/...

test: lint cross unit race

unit:
	$(GO) mod tidy -diff
	$(GO) vet ./...
	.ci/unit

# The code must build on both processors, whichever runs the tests.
cross:
	GOARCH=amd64 $(GO) vet ./... && GOARCH=amd64 $(GO) build ./...
	GOARCH=arm64 $(GO) vet ./... && GOARCH=arm64 $(GO) build ./...

race:
	.ci/unit -race ./limit ./queue ./route ./peer ./proxy ./health ./host ./golden ./lead ./grant ./place ./relay ./node ./platform ./drain ./socket ./head

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run

$(TOOLS)/golangci-lint:
	GOBIN=$(CURDIR)/$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# Generated code is committed. Run this only after a change of the protocol
# files or of the injector.
generate:
	GOBIN=$(CURDIR)/$(TOOLS) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go
	GOBIN=$(CURDIR)/$(TOOLS) $(GO) install github.com/bufbuild/buf/cmd/buf@v1.71.0
	PATH=$(CURDIR)/$(TOOLS):$$PATH $(TOOLS)/buf generate
	$(GO) run github.com/google/wire/cmd/wire@$(WIRE_VERSION) gen ./cmd/monsoonferry
