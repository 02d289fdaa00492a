PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/transport platform packages/daemon packages/operator packages/standins

.PHONY: run test check bench faults soak

$(VENV)/ready: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(PACKAGES:%=-e %)
	touch $@

run: $(VENV)/ready
	$(BIN)/python -m hyssopwind.standins.demo

test: $(VENV)/ready
	PYTHONHASHSEED=0 $(BIN)/python tools/run_tests.py

check: $(VENV)/ready
	$(BIN)/ruff format --check packages platform tools
	$(BIN)/ruff check packages platform tools
	$(BIN)/mypy $(PACKAGES:%=%/src)
	$(BIN)/python tools/check_layers.py
	$(BIN)/python tools/check_decoders.py

bench: $(VENV)/ready
	$(BIN)/python -m hyssopwind.standins.bench

faults: $(VENV)/ready
	$(BIN)/python -m hyssopwind.standins.faults

# SEEDS=1-50 JOBS=4; the plan and logs of a run that fails are kept in target/soak.
SEEDS ?= 1-4
JOBS ?= 4
soak: $(VENV)/ready
	$(BIN)/python -m hyssopwind.standins.stops.soak --seeds $(SEEDS) \
		--jobs $(JOBS) --keep target/soak --shrink
