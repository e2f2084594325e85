PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
JSON ?=
JSON_OPTION = $(if $(JSON),--json $(JSON),)

.PHONY: setup demo test lint unit model measure slopes soak properties docs day

KIT ?= ../given/kit/more/system
FLEETBENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
SITE ?= large/kitakaze-lb-large
DAY ?= quiet-1
WHY ?= a day by hand
SEEDS ?= 1 2 3
MINUTES ?= 0

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m bench.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

unit: setup
	$(BIN)/python -m pytest -n 6

model: setup
	$(BIN)/python -m spec.run

test: lint model unit

measure: setup
	$(BIN)/python -m bench.measure $(JSON_OPTION)

slopes: setup
	$(BIN)/python -m bench.slopes $(JSON_OPTION)

soak: setup
	$(BIN)/python -m bench.fault_soak --seeds $(SEEDS) --minutes $(MINUTES)

properties: setup
	$(BIN)/python -m bench.soak

docs: setup
	$(BIN)/python -m bench.generate_docs

day:
	$(FLEETBENCH) run $(KIT)/$(SITE).toml $(DAY) --why "$(WHY)"
