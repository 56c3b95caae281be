# Two commands do all on a fresh machine: `make try` runs the main job, `make test` passes the checks.
# Both repair what a broken folder holds: a virtual environment that does not work is made anew.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install try test lint unit pages bench clean

install:
	@$(BIN)/python -m pip --version >/dev/null 2>&1 || { rm -rf $(VENV); $(PYTHON) -m venv $(VENV); }
	@$(BIN)/python -m pip -q --disable-pip-version-check install -r requirements-dev.txt
	@$(BIN)/ryestack version >/dev/null 2>&1 || \
		$(BIN)/python -m pip -q --disable-pip-version-check install --no-deps -e .

try: install
	@$(BIN)/python -m ryestack try

test: install lint unit

lint:
	$(BIN)/ruff check .
	$(BIN)/ruff format --check ryestack benchmarks
	$(BIN)/lint-imports
	$(BIN)/python tests/lines.py

unit:
	@$(BIN)/python -m pytest -q -p no:cacheprovider tests

pages:
	$(BIN)/python -m ryestack pages --write

bench: install
	$(BIN)/python benchmarks/run_cost.py

clean:
	rm -rf $(VENV) .venv-ci build *.egg-info .ruff_cache .import_linter_cache
