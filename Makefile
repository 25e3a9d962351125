# Targets for developers and CI. Each does its own set-up on a fresh machine.

GO ?= go
BIN := bin

# The language server, whose "rename -w FILE:LINE:COLUMN NAME" follows every use.
GOPLS := golang.org/x/tools/gopls@v0.23.0

# The seeds that "make soak" plays; 50 or more after each larger change.
SOAK_FIRST ?= 1
SOAK_SEEDS ?= 50

.PHONY: all build tools quickstart test lint spec proofs soak bench fuzz clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Installs the tools for changing the code into bin.
tools:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install $(GOPLS)

# Builds, starts the stand-ins and three instances, runs a program and shows
# what happened. KEEP=1 leaves everything up until interrupted.
quickstart: build
	$(BIN)/quickstart -instance $(BIN)/banyanglade $(if $(KEEP),-keep)

# All checks that CI makes.
test: lint spec
	bash scripts/gotest.sh
	$(MAKE) quickstart

lint:
	bash scripts/lint.sh

spec:
	bash spec/check.sh

# Runs the proofs of docs/PROOFS.md with one line each.
proofs: build
	bash scripts/proofs.sh

# Plays seeds of the fault soak; CI plays a few short ones.
soak: build
	$(BIN)/soak --binary $(BIN)/banyanglade --first $(SOAK_FIRST) --seeds $(SOAK_SEEDS) --parallel 6

bench: build
	bash scripts/bench.sh

# A minute of fuzzing for each target; the seeds alone run in "make test".
fuzz:
	bash scripts/fuzz.sh

clean:
	rm -rf $(BIN)
