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
	$(BIN)/python -m sequoiabridge.benchmarks.demo

test: $(VENV)/ready
	$(BIN)/python -m pytest $(PYTEST_ARGS)

lint: $(VENV)/ready
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

format: $(VENV)/ready
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info

.PHONY: bench-document settings-reference

bench-document: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.configuration

settings-reference: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.config.reference > docs/operators/settings.md
.PHONY: bench-hop bench-hop-edge
bench-hop: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.hop_daemon

bench-hop-edge: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.hop
.PHONY: bench-claims
bench-claims: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.claims

.PHONY: bench-upload
bench-upload: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.upload

.PHONY: bench-daemon
bench-daemon: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.daemon
.PHONY: bench-fleet
bench-fleet: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.fleet

.PHONY: matrix matrix-check soak roll
matrix: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.matrix

matrix-check: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.matrix.check

soak: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.soak

roll: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.roll

.PHONY: bench-config
bench-config: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.inforce

.PHONY: slopes
slopes: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.slopes
.PHONY: bench-policy bench-limits

bench-policy: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.policy

bench-limits: $(VENV)/ready
	$(BIN)/python -m sequoiabridge.benchmarks.policy_limits

.PHONY: soak-platform soak-retries soak-limits soak-notices soak-crashes soak-paths soak-long soak-stops soak-crowds soak-lags
soak-platform: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --seeds 3

soak-limits: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --limits RANDOM --daemons 13 --seconds 45 --seeds 3

soak-notices: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --notices RANDOM --daemons 13 --seconds 30 --seeds 3

soak-crashes: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --crashes RANDOM --daemons 5 --reads 14 --seconds 24 --seeds 3

soak-paths: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --paths RANDOM --daemons 6 --reads 8 --seconds 40 --seeds 3

soak-long: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --long RANDOM --daemons 4 --reads 9 --seconds 30 --seeds 3

soak-stops: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --stops RANDOM --daemons 4 --reads 12 --seconds 30 --busy 24 --seeds 3

soak-crowds: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --crowds RANDOM --daemons 3 --seconds 30 --seeds 3

soak-lags: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --lags RANDOM --daemons 9 --seconds 30 --data-centres 3 --seeds 3

soak-retries: $(VENV)/ready
	$(BIN)/python -W ignore -m sequoiabridge.tests.platform.soak --retries RANDOM --seconds 40 --seeds 3
