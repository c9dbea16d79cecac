# Set-up, tests and demo. Needs only Python 3.11 or newer and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src

.PHONY: setup test demo lint format fuzz generate

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m runkeel_lab demo

generate:
	sh wire/generate.sh

# Free-running fuzzing: new examples on every run.
FUZZ_TESTS := tests.coordination.test_feed_fuzz.FeedFuzzTest.test_contract_holds tests.jobs.test_partial_output_fuzz.PartialOutputFuzzTest.test_contract_holds
FUZZ_EXAMPLES ?= 2000

fuzz: setup
	RUNKEEL_FUZZ_EXAMPLES=$(FUZZ_EXAMPLES) $(BIN)/python -m tests $(FUZZ_TESTS)
