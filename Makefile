# Two commands set up everything they need: `make demo` and `make test`.
PY := .venv/bin/python
STAMP := .venv/.installed

.PHONY: demo test soak bench lint format clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3.11 -m venv .venv
	.venv/bin/pip install --quiet -r requirements.lock
	.venv/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m bench.demo

test: $(STAMP)
	$(PY) -m pytest tests

soak: $(STAMP)
	$(PY) -m soak.run --rounds 3

bench: $(STAMP)
	$(PY) -m bench.start_cost

lint: $(STAMP)
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

format: $(STAMP)
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

clean:
	rm -rf .venv out build *.egg-info
