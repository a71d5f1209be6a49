# A thin front over CMake. `make demo` and `make check` are all of the set-up.
BUILD ?= build
N ?=
SEED ?= 1

all: build

install-deps:
	sh tools/install.sh

build: install-deps
	cmake -G Ninja -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD)

asan: install-deps
	cmake -G Ninja -S . -B build-asan -DSANITIZE=ON >/dev/null
	cmake --build build-asan

demo-platform: build
	sh tools/demo_platform.sh $(BUILD)

soak: build
	sh tools/soak.sh $(BUILD) $(SEED) $(if $(N),$(N),60)

demo: build
	sh tools/demo.sh $(BUILD)

check: install-deps
	sh tools/check.sh

model: install-deps
	sh spec/model.sh

fmt:
	git ls-files -co --exclude-standard '*.c' '*.h' | xargs clang-format -i

lint: install-deps
	sh tools/lint.sh

settings-page: build
	$(BUILD)/tools/print_settings >docs/SETTINGS.md

logs-page: build
	$(BUILD)/tools/print_logs

bench-weights: build
	N="$(N)" SEED="$(SEED)" sh bench/weights.sh $(BUILD)

bench-requests: build
	N="$(N)" SEED="$(SEED)" sh bench/requests.sh $(BUILD)

bench-control: build
	N="$(N)" SEED="$(SEED)" sh bench/control.sh $(BUILD)

capacity: build
	sh bench/capacity.sh $(BUILD)

clean:
	rm -rf build build-asan out

.PHONY: all install-deps build asan demo demo-platform soak check model fmt lint settings-page logs-page bench-weights \
	bench-requests bench-control capacity clean
