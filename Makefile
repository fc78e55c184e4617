# `make run` demonstrates a small mesh, `make check` runs the tests. Both first
# install the required packages and build.

BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: run check build install-packages lint format bench clean

run: build
	HEMLOCKSPAR_BIN=$(CURDIR)/$(BUILD) tools/demo.sh examples/derwent-mist

check: build
	tools/check.sh $(BUILD)

build: install-packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) -j $(JOBS)

install-packages:
	@tools/install-packages.sh

lint: build
	tools/lint.sh $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format-14 -i

bench: build
	bench/run.sh $(BUILD)

clean:
	rm -rf $(BUILD)
