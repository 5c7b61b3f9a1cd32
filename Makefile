# Developers' daily verbs. VENV holds everything that is installed.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test lint format bench clean

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/installed
	$(BIN)/python tools/demo.py

test: $(VENV)/installed
	$(BIN)/python tools/run_tests.py

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8

format: $(VENV)/installed
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: $(VENV)/installed
	$(BIN)/poplarrack-bench table

clean:
	rm -rf $(VENV) build *.egg-info .hypothesis
