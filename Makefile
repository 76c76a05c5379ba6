PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo test lint clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/python -m citronjunction.demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 citronjunction soak tests
	$(VENV)/bin/lint-imports

test: lint
	$(VENV)/bin/pytest

clean:
	rm -rf $(VENV)
