# Targets for developers. `make` alone lists them.
SHELL := /bin/bash
VENV ?= .venv
PYTHON ?= python3
PACKAGE_DIRS := $(wildcard packages/*)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(PACKAGE_DIRS) platform))
export PYTHONDONTWRITEBYTECODE := 1
export PYTHONHASHSEED := 0
PINS := $(shell cat constraints.txt requirements-dev.txt | cksum | cut -d' ' -f1)
STAMP := $(VENV)/.installed-$(PINS)
RUN := $(VENV)/bin/python
MODULES := $(notdir $(wildcard packages/*/almondspan*))
SEED ?= 1

.PHONY: help install test lint format types demo soak mutants measure load slopes capacity

help:
	@echo "install  make the virtual environment from the pinned versions"
	@echo "test     lint, types, import rules, unit and feature tests"
	@echo "demo     serve an order and live callers on this machine (FAULTS=1 adds faults)"
	@echo "soak     2,000 random schedules of faults against the tasks, 200 against"
	@echo "         the jobs (SEED=n)"
	@echo "mutants  show that deliberate breakages are caught"
	@echo "measure  compare the policies with baselines on real processes"
	@echo "load     94 starts a second for a minute, with the store's calls counted"
	@echo "slopes   measure what each role costs, as JSON; capacity renders the page"

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -r requirements-dev.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGE_DIRS))
	touch $@

install: $(STAMP)

format: install
	$(VENV)/bin/ruff format packages platform tests misc
	$(VENV)/bin/ruff check --fix packages platform tests misc

lint: install
	$(VENV)/bin/ruff format --check packages platform tests misc
	$(VENV)/bin/ruff check packages platform tests misc

types: install
	$(VENV)/bin/mypy --strict $(patsubst %/__init__.py,%,$(wildcard packages/*/almondspan*/__init__.py platform/almondspan*/__init__.py))

test: install
	$(RUN) misc/run_tests.py

demo: install
	$(RUN) misc/demo.py $(if $(FAULTS),--faults)

soak: install
	$(RUN) misc/soak.py --seed $(SEED)
	$(RUN) misc/soak.py --system jobs --schedules 200 --seed $(SEED)

mutants: install
	$(RUN) misc/mutants.py

measure: install
	$(RUN) misc/measure.py

load: install
	$(RUN) misc/load_starts.py

slopes: install
	$(RUN) misc/slopes.py

capacity: install
	$(RUN) misc/capacity.py
