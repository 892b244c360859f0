# Set VENV to share an environment between checkouts.
VENV ?= .venv
# GNU make itself sets LINT, so that "?=" would keep its value.
ifeq ($(origin LINT),default)
LINT :=
endif
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(PACKAGES)))
export PYTHONHASHSEED := 0

.PHONY: setup test demo lint format proto measure model slopes fuzz

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(VENV)/.ready

test: setup
	$(BIN)/python tools/verdict.py $(LINT)

demo: setup
	$(BIN)/python tools/demo.py

lint: setup
	$(BIN)/black --check -q .
	$(BIN)/ruff check -q .

format: setup
	$(BIN)/black -q .
	$(BIN)/ruff check -q --fix .

proto: setup
	PATH="$(CURDIR)/$(BIN):$(PATH)" $(BIN)/python -m grpc_tools.protoc -I packages/kingcupdyke-wire \
		--python_out=packages/kingcupdyke-wire --grpclib_python_out=packages/kingcupdyke-wire \
		packages/kingcupdyke-wire/kingcupdyke_wire/sidecar.proto \
		packages/kingcupdyke-wire/kingcupdyke_wire/peer.proto

measure: setup
	$(BIN)/python -m kingcupdyke_measure policy

model: setup
	$(BIN)/python -m kingcupdyke_measure model

slopes: setup
	$(BIN)/python -m kingcupdyke_measure slopes

fuzz: setup
	KINGCUPDYKE_FUZZ_EXAMPLES=5000 $(BIN)/python tools/verdict.py --only packages/kingcupdyke
