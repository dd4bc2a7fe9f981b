# The two commands of the README are `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := src
export PYTHONHASHSEED := 0

SEED ?= 1
RUNS ?= 1
STEPS ?= 2000
SOAK ?=
NAME ?= routing
FIRM ?= maison-reprise

.PHONY: demo test check soak fuzz bench experiment capacity

$(STAMP): requirements-lock.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-lock.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m acaciastand_lab.demo $(FIRM)

test: $(STAMP)
	$(MAKE) --no-print-directory check

# Formatter, linter, type check, layering check and behave, with the packages already installed.
check:
	$(BIN)/black --check --quiet src features tools deploy
	$(BIN)/ruff check --quiet src features tools deploy
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python tools/run_behave.py $(BEHAVE)

bench: $(STAMP)
	$(BIN)/python -m acaciastand_lab.bench

capacity: $(STAMP)
	$(BIN)/python -m acaciastand_lab.capacity

experiment: $(STAMP)
	$(BIN)/python -m acaciastand_lab.experiment $(NAME)

# Real programs under random faults; RUNS seeds from SEED on. SOAK=--extended adds more kinds
# of faults, SOAK=--zone-drains drained zones; SOAK=--partitions plays partitions and freezes.
soak: $(STAMP)
	$(BIN)/python -m acaciastand_lab.soak --seed $(SEED) --runs $(RUNS) $(SOAK)

fuzz: $(STAMP)
	$(BIN)/python -m acaciastand_lab.fuzz --seed $(SEED) --steps $(STEPS)
