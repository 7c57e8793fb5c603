# Targets for users and developers; each makes its virtual environment first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format clean

$(VENV)/ready: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m benchmarks.demo

test: $(VENV)/ready
	$(BIN)/python -m pytest

lint: $(VENV)/ready
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

format: $(VENV)/ready
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info

.PHONY: bench-policy bench-limits

bench-policy: $(VENV)/ready
	$(BIN)/python -m benchmarks.policy

bench-limits: $(VENV)/ready
	$(BIN)/python -m benchmarks.policy_limits
