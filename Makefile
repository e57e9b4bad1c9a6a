PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check experiment soak generate

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python tools/demo.py $(if $(ONCE),--once,)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy filbertreach filbertreach_standins experiments tools
	$(BIN)/python tools/generate_schema.py --check

test: check
	$(BIN)/python tools/run_tests.py

experiment: $(STAMP)
	$(BIN)/python -m experiments

soak: $(STAMP)
	$(BIN)/python tools/soak.py

generate: $(STAMP)
	$(BIN)/python tools/generate_schema.py
