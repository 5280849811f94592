# Two commands do all set-up: `make demo` runs the main job, `make test` passes the tests.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test lint check env

env: $(VENV)/ready

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -e '.[dev]'
	touch $@

demo: env
	$(BIN)/python -m hickorybeam demo $(DEMO)

test: env
	$(BIN)/python tools/run_tests.py $(TESTS)

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/check_pure.py

check: lint test
