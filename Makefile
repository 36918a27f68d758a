VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: demo test soak lint format binary protocol

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo

# Prints the known failures and runs all other tests.
test: $(VENV)/.installed
	$(BIN)/python -m tests.run_all $(PYTEST_FLAGS)

# Fresh seeds each time; SEED=N begins with a certain one.
SEEDS ?= 50
PARALLEL ?= 3
soak: $(VENV)/.installed
	$(BIN)/python -m tests.soak --seeds $(SEEDS) --parallel $(PARALLEL) $(if $(SEED),--first $(SEED))

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 borageshelf standins bench tests
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/ruff format .

# The folder is rebuilt each time, because modules that no longer exist would
# stay in it. Test packages of the libraries are left out: every VM unpacks
# the file into memory.
binary: $(VENV)/.installed
	rm -rf build
	mkdir -p dist
	$(BIN)/pip install -q --no-compile --target build/site .
	find build/site -type d '(' -name test -o -name tests ')' -prune -exec rm -rf {} +
	$(BIN)/shiv --reproducible --site-packages build/site -c borageshelf -o dist/borageshelf -p "/usr/bin/env python3"

# Regenerates the committed protocol code from inner.proto.
protocol: $(VENV)/.installed
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. borageshelf/protocol/inner.proto
