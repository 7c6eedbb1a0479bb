# Every target sets up what it lacks; a fresh machine needs only Python 3.11.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONWARNINGS := ignore::DeprecationWarning

.PHONY: setup demo demo-platform test lint format prove explore bench slopes soak starts golden settings

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt packages/cassiastair/pyproject.toml \
		packages/cassiastaird/pyproject.toml packages/cassiactl/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps \
		-e packages/cassiastair -e packages/cassiastaird -e packages/cassiactl \
		|| $(BIN)/pip install -q --no-deps \
		-e packages/cassiastair -e packages/cassiastaird -e packages/cassiactl
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

demo-platform: setup
	$(BIN)/python -m standins.world.demo

test: setup
	$(BIN)/python -m pytest -q

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

prove: setup
	$(BIN)/python -m standins.prove

explore: setup
	HYPOTHESIS_PROFILE=explore $(BIN)/python -m pytest -q packages/cassiastair/cassiastair/at_most_once

bench: setup
	$(BIN)/python -m standins.bench

slopes: setup
	$(BIN)/python -m standins.slopes

soak: setup
	$(BIN)/python -m standins.soak --seeds $(or $(SEEDS),3) $(if $(SEED),--seed $(SEED))

starts: setup
	$(BIN)/python -m standins.soak.starts $(if $(SEED),--seed $(SEED))

golden: setup
	RECORD_GOLDEN=1 $(BIN)/python -m pytest -q standins/golden_test.py standins/world/golden_test.py

settings: setup
	$(BIN)/python -m cassiastaird.settings_page > docs/SETTINGS.md
