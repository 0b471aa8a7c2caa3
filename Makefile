PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python -W ignore

BENCH_SECONDS ?= 320
SEEDS ?= 10
FIRST ?= $(shell date +%s)

.PHONY: bench bench-full bench-plan demo demo-platform slopes soak test lint format clean

$(VENV)/installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt
	touch $@

demo: $(VENV)/installed
	$(RUN) -m standins.demo $(if $(KEEP),--keep)

demo-platform: $(VENV)/installed
	$(RUN) -m standins.platform_demo

slopes: $(VENV)/installed
	$(RUN) -m bench.slopes

test: lint
	$(RUN) -m testing

soak: $(VENV)/installed
	$(RUN) -m soak.run --seeds $(SEEDS) --first $(FIRST) --jobs 3

lint: $(VENV)/installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(VENV)/installed
	$(RUN) -m bench.run --seconds $(BENCH_SECONDS)

bench-plan: $(VENV)/installed
	$(RUN) -m bench.plan_cost

bench-full: $(VENV)/installed
	$(RUN) -m bench.run --full --shapes oslo,salish --seconds 2400

clean:
	rm -rf build
