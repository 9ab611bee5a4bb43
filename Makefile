# Targets create the environment they need; only python3 and pip are assumed.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test bench soak generate format clean

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) examples/demo.py

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PY) tools/generate.py --check
	$(PY) tools/run_tests.py

bench: $(STAMP)
	$(PY) -m benchmarks

# Some fresh seeds, and those that once failed; `make soak ARGS="--seed 7"` for others.
soak: $(STAMP)
	PYTHONPATH=platform:platform/tests:. $(PY) -m soak $(or $(ARGS),--seeds 10 --kept)

generate: $(STAMP)
	$(PY) tools/generate.py

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache
