# `make test` and `make demo` require only python3.11 and make.

PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: help env test check format docs demo bench capacity soak clean

help:  ## List the targets.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(VENV)/.done: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

env: $(VENV)/.done  ## Build the environment from pinned packages.

test: env  ## Run the tests.
	$(BIN)/python -m tools.run_tests

check: env  ## Run the formatter, the linter and the type checker.
	$(BIN)/black --check --quiet . || $(BIN)/black --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: env  ## Format the code and apply the fixes of the linter.
	$(BIN)/ruff check --fix .
	$(BIN)/black .

docs: env  ## Generate the reference pages from the code.
	$(BIN)/python -m tools.reference

demo: env  ## Run the example deployments end to end and check every response.
	$(BIN)/python -m tools.demo

bench: env  ## Run the benchmarks.
	$(BIN)/python -m tools.bench
	$(BIN)/python -m tools.bench_acceptance
	$(BIN)/python -m tools.bench_distribution
	$(BIN)/python -m tools.bench_members
	$(BIN)/python -m tools.bench_choice
	$(BIN)/python -m tools.bench_teams

capacity: env  ## Measure the figures of docs/CAPACITY.md and record them.
	$(BIN)/python -m tools.capacity --record docs/capacity.json

SEEDS ?= 1 2 3

soak: env  ## Run the fault soak with each of SEEDS, and keep the files of those that find something.
	@failed=; for seed in $(SEEDS); do \
		$(BIN)/python -m tools.soak --seed $$seed || failed="$$failed $$seed"; \
	done; test -z "$$failed" || { echo "seeds with findings:$$failed"; exit 1; }

clean:  ## Remove the environment, caches and build output.
	rm -rf $(VENV) .mypy_cache .ruff_cache build *.egg-info
