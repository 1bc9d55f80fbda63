# VENV may name an existing virtual environment to share between checkouts.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready-dev

.PHONY: demo test lint format check-format clean setup reference dist

setup: $(READY)

$(READY): requirements/run.txt requirements/dev.txt requirements/constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements/dev.txt
	touch $(READY)

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .

check-format: setup
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

dist: setup
	$(BIN)/python -m release.build dist/chicorychute

reference: setup
	$(BIN)/python -m release.reference

clean:
	rm -rf .pytest_cache .ruff_cache build dist
