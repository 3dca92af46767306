# Named chores. `make test` and `make demo` need nothing but python3.11 and make.

PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: help env test check format docs demo bench capacity clean

help:  ## List the chores.
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

format: env  ## Format the code and mend what the linter can mend.
	$(BIN)/ruff check --fix .
	$(BIN)/black .

docs: env  ## Write the reference pages from the code.
	$(BIN)/python -m tools.reference

demo: env  ## Start the whole path, drive it, and print what it saw.
	$(BIN)/python -m tools.demo

bench: env  ## Measure, as ratios within one run.
	$(BIN)/python -m tools.bench
	$(BIN)/python -m tools.bench_acceptance
	$(BIN)/python -m tools.bench_distribution
	$(BIN)/python -m tools.bench_members

capacity: env  ## Measure the slopes of docs/CAPACITY.md again, and record them.
	$(BIN)/python -m tools.capacity --record docs/capacity.json

clean:  ## Remove what the chores made.
	rm -rf $(VENV) .mypy_cache .ruff_cache build *.egg-info
